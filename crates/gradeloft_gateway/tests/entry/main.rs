//! An entry before scripted replicas.

mod callers_gone;
mod cut_off;
mod forward;
mod gossip;
mod large;
mod support;
