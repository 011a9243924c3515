//! Responses to address queries.

use gradeloft_http::message::{HttpResponse, Request, json};
use gradeloft_policy::process::address;
use gradeloft_wire::{
    border::{
        caller::{Address, Addresses},
        platform::InstanceRole,
    },
    error::Kind,
};

use super::{Entry, api::Failure};

/// Responds to an address query for a team and, if given, the caller's availability zone.
pub fn respond(entry: &Entry, request: &Request) -> Result<HttpResponse, Failure> {
    let missing = || Failure::with_detail(Kind::BadRequest, "team: missing in the query");
    let team = request.query_param("team").ok_or_else(missing)?;
    let own_zone = &entry.node.settings.node.zone;
    let zone = request.query_param("zone").unwrap_or(own_zone);
    {
        let chain = entry.node.chain.borrow();
        let head = chain.head().ok_or(Kind::Starting)?;
        if !head.bundle.teams.iter().any(|it| it.name == team) {
            return Err(Failure::with_detail(Kind::NotFound, "no such team"));
        }
    }
    let ordered = address::order(&entry.available_entries(), team, zone);
    let addresses = ordered.into_iter().map(|(it, weight)| Address {
        address: it.address,
        zone: it.zone,
        weight,
    });
    let ttl_s = entry.settings.address_ttl_s;
    Ok(json(
        200,
        &Addresses {
            addresses: addresses.collect(),
            ttl_s,
        },
    ))
}

impl Entry {
    /// Returns the entries that accept new requests, including this one unless it is draining.
    fn available_entries(&self) -> Vec<address::Entry> {
        let membership = self.node.membership.borrow();
        let now = self.node.clock.now();
        let others = membership
            .of(InstanceRole::Entry)
            .filter(|(_, it)| it.accepts_work(now));
        let mut entries: Vec<address::Entry> = others
            .filter_map(|(_, it)| {
                Some(address::Entry {
                    node: it.instance.id.clone(),
                    zone: it.instance.zone.clone(),
                    address: it.instance.public.clone()?,
                })
            })
            .collect();
        if !self.node.is_draining() {
            entries.extend(self.own_address());
        }
        entries
    }

    fn own_address(&self) -> Option<address::Entry> {
        let settings = &self.node.settings;
        Some(address::Entry {
            node: settings.node.id.clone(),
            zone: settings.node.zone.clone(),
            address: self.public.get()?.to_string(),
        })
    }
}
