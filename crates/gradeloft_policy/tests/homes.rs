//! Regions to which the operator binds routes and teams.

use std::{collections::HashMap, rc::Rc};

use gradeloft_policy::process::{
    allowed_regions::AllowedRegions,
    document::{CallerLimits, Config, Document, Route, RouteKind, Target},
};
use rstest::rstest;

fn homes(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::of(regions.iter().map(|it| (*it).to_owned()))
}

fn route(prefix: &str, regions: &[&str]) -> Route {
    Route {
        name: prefix.into(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Once,
        targets: vec![Target {
            service: "s".into(),
            weight: 1.0,
        }],
        timeout_ms: 1,
        goal_ms: 1,
        max_attempts: 1,
        priority: 0,
        public: false,
        allowed_regions: homes(regions),
    }
}

fn config(routes: Vec<Route>, team: &[&str]) -> Config {
    Config::new(Document {
        version: 1,
        routes,
        services: Vec::new(),
        keys: HashMap::from([("k".to_owned(), Rc::from("t"))]),
        allowed_regions: HashMap::from([(Rc::from("t"), homes(team))]),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_ms: 1,
            idle_ms: 1,
        },
    })
}

#[rstest]
#[case(&[], &[], Some("t"), "ab")]
#[case(&["a"], &[], Some("t"), "a")]
#[case(&[], &["b"], Some("t"), "b")]
#[case(&["a", "b"], &["b"], Some("t"), "b")]
#[case(&["a"], &["b"], Some("t"), "")]
// Without a key, or with that of a team that is not bound, only the route's hold.
#[case(&["a"], &["b"], None, "a")]
#[case(&["a"], &["b"], Some("another"), "a")]
fn route_and_team_both_bind(
    #[case] of_route: &[&str],
    #[case] of_team: &[&str],
    #[case] team: Option<&str>,
    #[case] allowed: &str,
) {
    let config = config(vec![route("/r/", of_route)], of_team);
    let homes = config.allowed_regions(&config.document.routes[0], team);
    let regions = ["a", "b"].into_iter().filter(|it| homes.allows(it));
    assert_eq!(regions.collect::<String>(), allowed);
}

#[test]
fn a_host_is_at_home_where_all_of_its_routes_are() {
    let routes = vec![
        route("/r/", &["a", "b"]),
        route("/x/", &["b"]),
        route("/y/", &[]),
    ];
    let config = config(routes, &[]);
    let homes = config.allowed_regions_of_host("H");
    assert_eq!(["a", "b"].map(|it| homes.allows(it)), [false, true]);
    assert!(config.allowed_regions_of_host("unknown").is_unrestricted());
}
