//! Settings of a process, read from YAML. All faults are reported together.

use std::{fmt, fs, io, path::Path};

use gradeloft_policy::version::bundle::Publisher;
use gradeloft_wire::{
    border::settings::{EndpointKind, Role, Settings},
    schema::{self, Fault, Schema},
};

/// Error of reading settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the read.
        error: io::Error,
    },
    /// The settings have these faults.
    Invalid(Vec<Fault>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable { path, error } => write!(f, "{path}: {error}"),
            SettingsError::Invalid(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

/// Reads a settings file.
pub fn read(path: &Path) -> Result<Settings, SettingsError> {
    let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        path: path.display().to_string(),
        error,
    })?;
    parse(&text).map_err(SettingsError::Invalid)
}

/// Parses settings, or returns all faults in them.
pub fn parse(yaml: &str) -> Result<Settings, Vec<Fault>> {
    let settings = schema::from_yaml(Schema::Settings, yaml)?;
    let faults = check(&settings);
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}

/// Returns the publishers that are trusted before a bundle is in force.
pub fn publishers(settings: &Settings) -> Vec<Publisher> {
    settings
        .publishers
        .iter()
        .filter_map(|it| Publisher::new(&it.name, &it.key))
        .collect()
}

/// Returns the faults that the schema can't express.
fn check(settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_addresses(settings, &mut faults);
    for (idx, publisher) in settings.publishers.iter().enumerate() {
        if Publisher::new(&publisher.name, &publisher.key).is_none() {
            let message = format!("\"{}\" is not an ed25519 public key", publisher.key);
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
        let message = format!("\"{source}\" is not an IP address");
        faults.push(Fault::new("/listen/source", message));
    }
    for (path, address) in addresses {
        if let Some(address) = address
            && address.parse::<std::net::SocketAddr>().is_err()
        {
            let message = format!("\"{address}\" is not ip:port with a port from 0 to 65535");
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
    let has_service_name = agent.endpoint.service.is_some();
    match agent.endpoint.kind {
        EndpointKind::Service if !has_service_name => {
            faults.push(Fault::new(
                "/agent/endpoint/service",
                "missing; a service needs a name",
            ));
        }
        EndpointKind::Engine if has_service_name => {
            faults.push(Fault::new(
                "/agent/endpoint/service",
                "an engine has no service name",
            ));
        }
        _ => {}
    }
}
