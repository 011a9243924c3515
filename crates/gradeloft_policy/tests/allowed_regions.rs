//! Tests of the regions to which the operator restricts routes and teams.

use std::{collections::HashMap, rc::Rc};

use gradeloft_policy::process::{
    allowed_regions::AllowedRegions,
    api_keys::ApiKeys,
    document::{CallerLimits, Config, Document, Route, RouteKind, Target},
};
use rstest::rstest;

fn allowed_regions(regions: &[&str]) -> AllowedRegions {
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
        allowed_regions: allowed_regions(regions),
    }
}

fn config(routes: Vec<Route>, team: &[&str]) -> Config {
    Config::new(Document {
        version: 1,
        routes,
        services: Vec::new(),
        keys: ApiKeys::of([("k".to_owned(), Rc::from("t"))]),
        allowed_regions: HashMap::from([(Rc::from("t"), allowed_regions(team))]),
        team_priorities: HashMap::new(),
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
// Without a key, or with that of an unrestricted team, only the regions of the route apply.
#[case(&["a"], &["b"], None, "a")]
#[case(&["a"], &["b"], Some("another"), "a")]
fn allowed_regions_are_those_of_both_route_and_team(
    #[case] route_regions: &[&str],
    #[case] team_regions: &[&str],
    #[case] team: Option<&str>,
    #[case] allowed: &str,
) {
    let config = config(vec![route("/r/", route_regions)], team_regions);
    let allowed_regions = config.allowed_regions(&config.document.routes[0], team);
    let regions = ["a", "b"]
        .into_iter()
        .filter(|it| allowed_regions.allows(it));
    assert_eq!(regions.collect::<String>(), allowed);
}

#[test]
fn a_region_is_allowed_for_a_host_if_all_of_its_routes_allow_it() {
    let routes = vec![
        route("/r/", &["a", "b"]),
        route("/x/", &["b"]),
        route("/y/", &[]),
    ];
    let config = config(routes, &[]);
    let allowed_regions = config.allowed_regions_of_host("H");
    assert_eq!(
        ["a", "b"].map(|it| allowed_regions.allows(it)),
        [false, true]
    );
    assert!(config.allowed_regions_of_host("unknown").is_unrestricted());
}
