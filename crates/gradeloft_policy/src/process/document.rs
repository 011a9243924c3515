//! The operator's configuration: which service a request goes to, who may send it, and the bounds
//! it is held to.

use std::{collections::HashMap, net::SocketAddr, rc::Rc};

use rand::Rng;

use super::allowed_regions::AllowedRegions;

/// Whether a request may run more than once, and how its answer comes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// May run again after any failure.
    Idempotent,
    /// Runs at most once.
    Once,
    /// An event stream that runs at most once.
    Stream,
    /// An event stream that another replica can continue after a given event.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may be sent again although it may have run.
    pub fn repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Whether the answer is an event stream.
    pub fn streams(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service that a route may lead to, and its part of the route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Service.
    pub service: Rc<str>,
    /// Part of the requests, relative to the other targets' weights.
    pub weight: f64,
}

/// Where requests for a host and a path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Rc<str>,
    /// Host that it serves, in lower case.
    pub host: String,
    /// Begins the path of each request that it serves; ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services; at least one.
    pub targets: Vec<Target>,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is worth its full credit, in milliseconds.
    pub goal_ms: u64,
    /// Most replicas that one request is sent to; at least 1.
    pub max_attempts: u32,
    /// Rank under overload; 0 is the highest.
    pub priority: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Regions in which its requests may be served.
    pub homes: AllowedRegions,
}

impl Route {
    /// Draws the service of one request by the targets' weights.
    pub fn draw(&self, rng: &mut impl Rng) -> Rc<str> {
        let sum: f64 = self.targets.iter().map(|it| it.weight).sum();
        let mut left = rng.random::<f64>() * sum;
        for target in &self.targets {
            left -= target.weight;
            if left < 0.0 {
                return Rc::clone(&target.service);
            }
        }
        Rc::clone(&self.targets[self.targets.len() - 1].service)
    }
}

/// How a service's weights are cut into pieces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Layout {
    /// Layers of the model.
    pub layers: u32,
    /// Pieces of one version.
    pub pieces: u32,
    /// Bytes of one piece.
    pub piece_bytes: u32,
}

/// How fast the engines of a service work, as the operator publishes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Time of a step, which writes one token of each request, in milliseconds. Above 0.
    pub step_ms: f64,
    /// What each request that writes adds to a step, in milliseconds.
    pub step_ms_per_request: f64,
    /// Steps of one pass; at least 1.
    pub steps: u32,
    /// Prompt tokens that are read in a millisecond. Above 0.
    pub read_per_ms: f64,
    /// Tokens of a usual prompt.
    pub usual_prompt: f64,
    /// Tokens of a usual answer.
    pub usual_answer: f64,
}

/// What a replica of a service bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Time from a replica's start until it is warm, in milliseconds.
    pub ms: u64,
    /// Requests a second. Above 0.
    pub per_s: f64,
}

/// A service and what its replicas bear.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Rc<str>,
    /// Connections that each of its replicas takes from all callers together.
    pub max_connections: u32,
    /// What its replicas bear while they are cold; `None` if they are never cold.
    pub warmup: Option<Warmup>,
    /// How its weights are cut, for services that run a model.
    pub layout: Option<Layout>,
    /// How fast its engines work, for services that run a model.
    pub speed: Option<Speed>,
    /// Models that its replicas may hold.
    pub models: Vec<String>,
    /// Where pieces of weights are read, for the service that is the origin.
    pub origin: Option<SocketAddr>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Longest time that a connection stays open without a request, in milliseconds.
    pub idle_ms: u64,
}

/// One version of the configuration, as the operator wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Version; a node only moves up.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Team of each key. Empty when requests need no key.
    pub keys: HashMap<String, Rc<str>>,
    /// Regions in which requests of a team may be served, for teams that are bound to some.
    pub homes: HashMap<Rc<str>, AllowedRegions>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Document {
    /// Whether all streams of a service can go on at another replica.
    pub fn resumes(&self, service: &str) -> bool {
        let leads = |it: &&Route| it.targets.iter().any(|it| &*it.service == service);
        let mut routes = self.routes.iter().filter(leads);
        routes.all(|it| it.kind == RouteKind::ResumableStream)
    }
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// No route for the host and path.
    NoRoute,
    /// The key is absent or nobody's.
    UnknownKey,
}

/// A document made ready for look-ups.
///
/// Routes of one host are sorted with the longest prefix first, so the first match is the one.
#[derive(Clone, Debug)]
pub struct Config {
    /// The document.
    pub document: Document,
    by_host: HashMap<String, Vec<usize>>,
}

impl Config {
    /// Sorts a document's routes.
    pub fn new(document: Document) -> Config {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (idx, route) in document.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(idx);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|&idx| std::cmp::Reverse(document.routes[idx].prefix.len()));
        }
        Config { document, by_host }
    }

    /// The route of a request; `path` without its query.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, Denied> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = self.by_host.get(&host.to_ascii_lowercase());
        let routes = routes.ok_or(Denied::NoRoute)?;
        let found = routes.iter().map(|&idx| &self.document.routes[idx]);
        found
            .filter(|it| path.starts_with(&it.prefix))
            .max_by_key(|it| it.prefix.len())
            .ok_or(Denied::NoRoute)
    }

    /// The team that sends a request on `route`; `None` where no key is needed and none is known.
    pub fn team(&self, route: &Route, key: Option<&str>) -> Result<Option<Rc<str>>, Denied> {
        let team = key.and_then(|it| self.document.keys.get(it)).cloned();
        let needed = !route.public && !self.document.keys.is_empty();
        if needed && team.is_none() {
            return Err(Denied::UnknownKey);
        }
        Ok(team)
    }

    /// Regions in which a team's requests on a route may be served.
    pub fn allowed_regions(&self, route: &Route, team: Option<&str>) -> AllowedRegions {
        match team.and_then(|it| self.document.homes.get(it)) {
            Some(homes) => route.homes.intersect(homes),
            None => route.homes.clone(),
        }
    }

    /// Regions in which requests for a host may be served by any of its routes.
    pub fn allowed_regions_of_host(&self, host: &str) -> AllowedRegions {
        let Some(routes) = self.by_host.get(&host.to_ascii_lowercase()) else {
            return AllowedRegions::default();
        };
        let routes = routes.iter().map(|&idx| &self.document.routes[idx]);
        routes.fold(AllowedRegions::default(), |homes, it| {
            homes.intersect(&it.homes)
        })
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.document.services.iter().find(|it| &*it.name == name)
    }

    /// Where weights come from, if a service gives them.
    pub fn origin(&self) -> Option<SocketAddr> {
        self.document.services.iter().find_map(|it| it.origin)
    }
}
