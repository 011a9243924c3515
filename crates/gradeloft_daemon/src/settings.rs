//! Settings of a process: read from YAML, all faults reported at once.

use std::{fmt, fs, io, path::Path};

use gradeloft_policy::version::bundle::Publisher;
use gradeloft_wire::{
    border::settings::{EndpointKind, Role, Settings},
    schema::{self, Fault, Schema},
};

/// Why settings can't be used.
#[derive(Debug)]
pub enum Invalid {
    /// The file can't be read.
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        error: io::Error,
    },
    /// These faults are in it.
    Faulty(Vec<Fault>),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::Unreadable { path, error } => write!(f, "{path}: {error}"),
            Invalid::Faulty(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

/// Reads a settings file.
pub fn read(path: &Path) -> Result<Settings, Invalid> {
    let text = fs::read_to_string(path).map_err(|error| Invalid::Unreadable {
        path: path.display().to_string(),
        error,
    })?;
    parse(&text).map_err(Invalid::Faulty)
}

/// Reads settings, or gives every fault in them.
pub fn parse(yaml: &str) -> Result<Settings, Vec<Fault>> {
    let settings = schema::from_yaml(Schema::Settings, yaml)?;
    let faults = check(&settings);
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}

/// The keys that are trusted before any bundle is in force.
pub fn publishers(settings: &Settings) -> Vec<Publisher> {
    settings
        .publishers
        .iter()
        .filter_map(|it| Publisher::new(&it.name, &it.key))
        .collect()
}

/// Faults that the schema can't express.
fn check(settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_addresses(settings, &mut faults);
    for (idx, publisher) in settings.publishers.iter().enumerate() {
        if Publisher::new(&publisher.name, &publisher.key).is_none() {
            let message = format!("\"{}\" is no ed25519 public key", publisher.key);
            faults.push(Fault::new(format!("/publishers/{idx}/key"), message));
        }
    }
    match settings.role {
        Role::Entry => check_entry(settings, &mut faults),
        Role::Agent => check_agent(settings, &mut faults),
    }
    faults
}

fn check_addresses(settings: &Settings, faults: &mut Vec<Fault>) {
    let listen = &settings.listen;
    let addresses = [
        ("/listen/peer", Some(&listen.peer)),
        ("/listen/admin", Some(&listen.admin)),
        ("/listen/public", listen.public.as_ref()),
    ];
    if let Some(source) = &listen.source
        && source.parse::<std::net::IpAddr>().is_err()
    {
        let message = format!("\"{source}\" is no IP address");
        faults.push(Fault::new("/listen/source", message));
    }
    for (path, address) in addresses {
        if let Some(address) = address
            && address.parse::<std::net::SocketAddr>().is_err()
        {
            let message = format!("\"{address}\" is no ip:port with a port from 0 to 65535");
            faults.push(Fault::new(path, message));
        }
    }
}

fn check_entry(settings: &Settings, faults: &mut Vec<Fault>) {
    if settings.listen.public.is_none() {
        faults.push(Fault::new("/listen/public", "missing; an entry needs it"));
    }
    if settings.agent.is_some() {
        faults.push(Fault::new(
            "/agent",
            "only an agent has this part; the role is entry",
        ));
    }
}

fn check_agent(settings: &Settings, faults: &mut Vec<Fault>) {
    if settings.listen.public.is_some() {
        faults.push(Fault::new(
            "/listen/public",
            "only an entry has it; the role is agent",
        ));
    }
    if settings.entry.is_some() {
        faults.push(Fault::new(
            "/entry",
            "only an entry has this part; the role is agent",
        ));
    }
    let Some(agent) = &settings.agent else {
        faults.push(Fault::new("/agent", "missing; an agent needs it"));
        return;
    };
    let named = agent.endpoint.service.is_some();
    match agent.endpoint.kind {
        EndpointKind::Service if !named => {
            faults.push(Fault::new(
                "/agent/endpoint/service",
                "missing; a service needs a name",
            ));
        }
        EndpointKind::Engine if named => {
            faults.push(Fault::new(
                "/agent/endpoint/service",
                "an engine has no service name",
            ));
        }
        _ => {}
    }
}
