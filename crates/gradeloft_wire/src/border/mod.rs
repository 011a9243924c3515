//! Types of external messages and documents, generated from `schema/*.json`; see `schema/README.md`.
//!
//! Each schema has one module. Don't edit the modules by hand: change the schema and regenerate them.

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
