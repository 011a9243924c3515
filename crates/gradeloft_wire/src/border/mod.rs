//! Border types, generated from `schema/*.json` and committed; see `schema/README.md`.
//!
//! A module per schema. Do not edit them by hand: change the schema and generate again.

#![allow(
    dead_code,
    missing_docs,
    clippy::all,
    clippy::pedantic,
    unreachable_pub
)]

#[rustfmt::skip]
pub mod bundle;
#[rustfmt::skip]
pub mod caller;
#[rustfmt::skip]
pub mod manifest;
#[rustfmt::skip]
pub mod platform;
#[rustfmt::skip]
pub mod settings;
