//! Tests of explaining requests from logs.

use gradeloft_cli::explain::{Line, explain};

const LOGS: &str = "\
INFO | replica listed\tnode=entry-1 replica=i-1 version=\"Some(2)\" address=\"10.0.0.1:80\"
INFO | replica listed\tnode=entry-1 replica=i-9 version=None
INFO | request\tnode=entry-1 none_free=closed:1,full:2,old:0,tried:1 homes=north,south config=7 ms=12 first_ms=-1 failures=\"unsent,refused\" replicas=\"i-1,i-2\" status=503 outcome=no_replica request=abc
a line of another program
2026-12-02T18:00:00Z INFO | replica gone\tnode=entry-1 replica=i-2
INFO | lines left out\tnode=entry-1 count=16 topic=state
INFO | request\tnode=entry-2 none_free= config=7 ms=300 first_ms=90 failures=broken replicas=\"i-3,i-4\" status=200 outcome=answered request=def
";

#[test]
fn a_refused_request_is_explained_step_by_step_with_lines_about_its_replicas() {
    let found = explain(LOGS.lines(), "abc");
    assert_eq!(found.endings.len(), 1);
    assert_eq!(
        found.endings[0].steps,
        [
            "sent to i-1: no connection could be made; nothing was sent",
            "sent to i-2: it said that it ran nothing, being full, leaving or about to load",
            "may be served in these regions only: north,south",
            "no further replica could get it: closed:1,full:2,old:0,tried:1",
            "no_replica: refused, not run: no replica took it (status 503, first byte after -1 ms, \
             end after 12 ms, configuration 7)",
        ]
    );
    let related: Vec<Line> = found
        .related
        .iter()
        .filter_map(|it| Line::parse(it))
        .collect();
    let events: Vec<&str> = related.iter().map(|it| it.event.as_str()).collect();
    assert_eq!(events, ["replica listed", "replica gone"]);
    assert_eq!((found.lines, found.left_out), (6, 16));
}

#[test]
fn a_stream_that_continued_at_another_replica_lists_both_replicas() {
    let found = explain(LOGS.lines(), "def");
    let steps = &found.endings[0].steps;
    assert_eq!(
        steps[0],
        "sent to i-3: its answer broke off or was not HTTP; it may have run"
    );
    assert_eq!(steps[1], "sent to i-4: answered");
    assert!(steps[2].starts_with("answered: the caller got the whole answer"));
}

#[test]
fn an_unknown_request_has_no_outcomes() {
    assert!(explain(LOGS.lines(), "zzz").endings.is_empty());
}

#[test]
fn escaped_quotes_in_values_are_parsed() {
    let line = Line::parse(r#"WARN | weights not loaded	reason="peer \"x\" said no" version=2"#);
    let line = line.unwrap();
    assert_eq!(line.field("reason"), Some(r#"peer "x" said no"#));
    assert_eq!(line.field("version"), Some("2"));
}

#[test]
fn a_refusal_under_overload_names_admission_wait_and_return() {
    let log = "INFO | request\tnode=entry-1 admission=shed waited_ms=40 queue_position=3 retry_after_ms=600 booked=true ms=41 first_ms=-1 status=503 outcome=no_replica request=abc";
    let found = explain([log].into_iter(), "abc");
    let steps = &found.endings[0].steps;
    assert!(
        steps[0].starts_with("admission shed: refused at once"),
        "{steps:?}"
    );
    assert_eq!(
        steps[1],
        "waited 40 ms for a replica, at first behind 3 others"
    );
    assert!(
        steps[2].starts_with("no_replica: refused, not run"),
        "{steps:?}"
    );
    assert_eq!(
        steps[3],
        "asked to return after 600 ms; room is reserved for it then"
    );
    let calm = log.replace("admission=shed", "admission=unlimited");
    let calm = calm.replace("queue_position=3", "queue_position=-1");
    let found = explain([calm.as_str()].into_iter(), "abc");
    assert_eq!(found.endings[0].steps.len(), 2);
}

#[test]
fn a_refusal_in_favour_of_other_callers_is_named() {
    let log = "INFO | request\tnode=entry-1 none_free= made_way=true retry_after_ms=1200 booked=false ms=0 status=503 outcome=no_replica request=abc";
    let found = explain([log].into_iter(), "abc");
    let steps = &found.endings[0].steps;
    assert!(steps[0].contains("in favour of callers"), "{steps:?}");
}
