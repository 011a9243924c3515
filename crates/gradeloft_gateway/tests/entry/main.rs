//! An entry before scripted replicas.

mod behind;
mod callers_gone;
mod crashing;
mod cut_off;
mod forward;
mod gossip;
mod large;
mod leaving;
mod pauses;
mod places;
mod restarts;
mod support;
mod suspended;
mod waiting;
