//! The operator's configuration: routes, services, API keys and the limits for requests.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
};

use rand::Rng;

use super::{allowed_regions::AllowedRegions, api_keys::ApiKeys};
use crate::request::{contention::Precedence, placement::Urgency};

/// Whether a request may run more than once, and the form of its response.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// May be run again after any failure.
    Idempotent,
    /// Must run at most once.
    Once,
    /// Event stream that must run at most once.
    Stream,
    /// Event stream that another replica can resume after a given event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may be sent again although it may have run.
    pub fn repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    pub fn streams(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service that a route leads to, and its share of the route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Rc<str>,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: f64,
}

/// Rule for the requests to a host whose path has a given prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: Rc<str>,
    /// Host, in lower case.
    pub host: String,
    /// Prefix of the request path; ends with a slash.
    pub prefix: String,
    /// Whether the route's requests may be repeated, and the form of their responses.
    pub kind: RouteKind,
    /// Services. If there are none, or none has a share, no request on the route is served.
    pub targets: Vec<Target>,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which a response has its full value, in milliseconds.
    pub goal_ms: u64,
    /// Highest number of replicas that one request is sent to; at least 1.
    pub max_attempts: u32,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Regions in which the route's requests may be served.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// Selects the service of one request at random by the weights of the targets; `None` if no
    /// target has a share.
    pub fn draw(&self, rng: &mut impl Rng) -> Option<Rc<str>> {
        let with_share = || self.targets.iter().filter(|it| 0.0 < it.weight);
        let sum: f64 = with_share().map(|it| it.weight).sum();
        let mut left = rng.random::<f64>() * sum;
        let drawn = with_share().find(|it| {
            left -= it.weight;
            left < 0.0
        });
        // Rounding may leave a rest after the last target.
        let target = drawn.or_else(|| with_share().next_back())?;
        Some(Rc::clone(&target.service))
    }
}

/// Division of a service's weights into chunks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Layout {
    /// Number of layers of the model.
    pub layers: u32,
    /// Number of chunks of one version.
    pub chunks: u32,
    /// Size of one chunk, in bytes.
    pub chunk_bytes: u32,
}

/// Speed of the engines of a service, as published by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Duration of a decoding step, which generates one token of each request, in milliseconds.
    /// Above 0.
    pub step_ms: f64,
    /// Time that each request in decoding adds to a step, in milliseconds.
    pub step_ms_per_request: f64,
    /// Number of steps in one pass; at least 1.
    pub steps: u32,
    /// Prompt tokens processed per millisecond. Above 0.
    pub read_per_ms: f64,
    /// Tokens of a typical prompt.
    pub usual_prompt: f64,
    /// Tokens of a typical response.
    pub usual_response: f64,
}

/// Load that a replica of a service tolerates while the replica is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Time from the start of a replica until it is warm, in milliseconds.
    pub ms: u64,
    /// Requests a second. Above 0.
    pub per_s: f64,
}

/// A service and the limits of its replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Rc<str>,
    /// Connections that each replica accepts from all callers together.
    pub max_connections: u32,
    /// Load that its replicas tolerate while they are cold; `None` if they are never cold.
    pub warmup: Option<Warmup>,
    /// Division of its weights into chunks, for services that run a model.
    pub layout: Option<Layout>,
    /// Speed of its engines, for services that run a model.
    pub speed: Option<Speed>,
    /// Path at which its replicas answer health checks.
    pub health_path: Option<Rc<str>>,
    /// Models that its replicas may load.
    pub models: Vec<String>,
    /// Address that serves chunks of weights, for the service that is the origin.
    pub origin: Option<SocketAddr>,
}

/// Limits for requests of callers.
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

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Version; a node never goes back to a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// API keys.
    pub keys: ApiKeys,
    /// Regions in which requests of a team may be served, for teams with such a restriction.
    pub allowed_regions: HashMap<Rc<str>, AllowedRegions>,
    /// Priority of each team under overload; 0 is the highest. Other teams have priority 0.
    pub team_priorities: HashMap<Rc<str>, u32>,
    /// Limits for requests of callers.
    pub limits: CallerLimits,
}

impl Document {
    /// Returns whether another replica can resume any stream of a service.
    pub fn resumes(&self, service: &str) -> bool {
        let leads = |it: &&Route| it.targets.iter().any(|it| &*it.service == service);
        let mut routes = self.routes.iter().filter(leads);
        routes.all(|it| it.kind == RouteKind::ResumableStream)
    }
}

/// Reason why a request is denied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// No route for the host and path.
    NoRoute,
    /// The route has no service.
    NoService,
    /// The API key is missing or unknown.
    UnknownKey,
}

/// A document indexed for look-ups.
///
/// The routes of a host are sorted by descending length of their prefix.
#[derive(Clone, Debug)]
pub struct Config {
    /// The document.
    pub document: Document,
    by_host: HashMap<String, Vec<usize>>,
    /// Precedences of the requests for each service for which teams differ in priority, ascending.
    precedences: HashMap<Rc<str>, Vec<Precedence>>,
    /// Services whose routes differ in priority.
    ranked: HashSet<Rc<str>>,
}

impl Config {
    /// Indexes the routes of a document.
    pub fn new(document: Document) -> Config {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (idx, route) in document.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(idx);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|&idx| std::cmp::Reverse(document.routes[idx].prefix.len()));
        }
        Config {
            precedences: precedences_by_service(&document),
            ranked: ranked_services(&document),
            document,
            by_host,
        }
    }

    /// Returns the route of a request; `path` has no query.
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

    /// Returns the team that sends a request on `route`, or `None` if the request has no known key
    /// and needs none.
    pub fn team(&self, route: &Route, key: Option<&str>) -> Result<Option<Rc<str>>, Denied> {
        let team = key.and_then(|it| self.document.keys.team(it)).cloned();
        let needed = !route.public && self.document.keys.are_required();
        if needed && team.is_none() {
            return Err(Denied::UnknownKey);
        }
        Ok(team)
    }

    /// Returns the precedence of a team's requests on a route.
    pub fn precedence(&self, route: &Route, team: Option<&str>) -> Precedence {
        let priority = team.and_then(|it| self.document.team_priorities.get(it));
        Precedence {
            team: priority.copied().unwrap_or_default(),
            route: route.priority,
        }
    }

    /// Returns the priority of a request among those that wait at a replica of a service, for
    /// [`Urgency::rank`]: the priority of the route, or the place of the precedence in the order of
    /// all precedences if teams differ. Neighbours in this order share a place if there are more
    /// precedences than ranks.
    pub fn queue_priority(&self, service: &str, precedence: Precedence) -> u32 {
        let Some(ordered) = self.precedences.get(service) else {
            return precedence.route;
        };
        let place = ordered.partition_point(|it| *it < precedence);
        let ranks = Urgency::RANKS as usize;
        (place * ranks / ordered.len().max(ranks)) as u32
    }

    /// Returns whether the operator ranks the requests for a service: its routes differ in priority.
    /// Teams that differ rank requests beside that. If all routes have one priority, admission by
    /// precedence would hold back most requests for a few teams without relieving the replicas.
    pub fn ranks_requests_for(&self, service: &str) -> bool {
        self.ranked.contains(service)
    }

    /// Returns the shortest latency objective of the routes of a priority that lead to a service, in
    /// milliseconds; `None` without such a route.
    pub fn shortest_objective_ms(&self, service: &str, priority: u32) -> Option<u64> {
        let leads = |it: &&Route| it.targets.iter().any(|it| &*it.service == service);
        let routes = self.document.routes.iter().filter(leads);
        let routes = routes.filter(|it| it.priority == priority);
        routes.map(|it| it.goal_ms).min()
    }

    /// Returns the regions in which a team's requests on a route may be served.
    pub fn allowed_regions(&self, route: &Route, team: Option<&str>) -> AllowedRegions {
        match team.and_then(|it| self.document.allowed_regions.get(it)) {
            Some(regions) => route.allowed_regions.intersect(regions),
            None => route.allowed_regions.clone(),
        }
    }

    /// Returns the regions in which requests for a host may be served by all of its routes.
    pub fn allowed_regions_of_host(&self, host: &str) -> AllowedRegions {
        let Some(routes) = self.by_host.get(&host.to_ascii_lowercase()) else {
            return AllowedRegions::default();
        };
        let routes = routes.iter().map(|&idx| &self.document.routes[idx]);
        routes.fold(AllowedRegions::default(), |regions, it| {
            regions.intersect(&it.allowed_regions)
        })
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.document.services.iter().find(|it| &*it.name == name)
    }

    /// Returns the address that weights are read from, if a service is the origin.
    pub fn origin(&self) -> Option<SocketAddr> {
        self.document.services.iter().find_map(|it| it.origin)
    }
}

/// Returns the different priorities of the teams that have an API key.
fn team_priorities(document: &Document) -> BTreeSet<u32> {
    let priority = |it: &Rc<str>| document.team_priorities.get(it).copied();
    let teams = document.keys.teams();
    teams.map(|it| priority(it).unwrap_or_default()).collect()
}

fn ranked_services(document: &Document) -> HashSet<Rc<str>> {
    let mut by_service: HashMap<Rc<str>, BTreeSet<u32>> = HashMap::new();
    for route in &document.routes {
        for target in &route.targets {
            let priorities = by_service.entry(Rc::clone(&target.service)).or_default();
            priorities.insert(route.priority);
        }
    }
    let ranked = by_service.into_iter().filter(|(_, it)| 1 < it.len());
    ranked.map(|(service, _)| service).collect()
}

fn precedences_by_service(document: &Document) -> HashMap<Rc<str>, Vec<Precedence>> {
    let mut by_service: HashMap<Rc<str>, BTreeSet<Precedence>> = HashMap::new();
    let teams = team_priorities(document);
    for route in &document.routes {
        // Requests without a team have priority 0.
        let without_team = (route.public || !document.keys.are_required()).then_some(0);
        for target in &route.targets {
            let of_route = teams.iter().copied().chain(without_team);
            let of_route = of_route.map(|team| Precedence {
                team,
                route: route.priority,
            });
            let precedences = by_service.entry(Rc::clone(&target.service)).or_default();
            precedences.extend(of_route);
        }
    }
    let ordered = by_service.into_iter();
    let ordered = ordered.map(|(service, it)| (service, it.into_iter().collect()));
    let differ = |it: &Vec<Precedence>| it.first().map(|it| it.team) != it.last().map(|it| it.team);
    ordered.filter(|(_, it)| differ(it)).collect()
}
