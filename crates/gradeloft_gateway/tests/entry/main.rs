//! An entry before scripted replicas.

mod cut_off;
mod forward;
mod gossip;
mod support;
