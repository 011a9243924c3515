//! Snapshots of whole sessions.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use futures_util::StreamExt;
use gradeloft_daemon::{
    scope::Scope,
    transport::server::{Handler, Limits, Outgoing, SMALL_BUFFERS, Server},
};
use gradeloft_http::intake::Refusal;
use gradeloft_standin::fleet::{MODEL, SERVICE, TEAM, TOKEN, digest, team, wait_until};
use gradeloft_wire::{
    border::platform::{Instance, InstanceRole, InstanceState},
    error::Kind,
    frame::{Call, Notice, Pin, Reply},
};
use support::{Transcript, describe_call, describe_generate, fleet, golden, shape, version};

#[actix_rt::test]
async fn publish_and_serve() {
    let mut fleet = fleet(shape(2, 4, 1)).await;
    let mut transcript = Transcript::default();
    let caller = fleet.caller();
    let before = caller.generate(fleet.entry(0), MODEL, "p", 3).await;
    transcript.add(format!(
        "before any bundle: {}",
        describe_generate(&before, &version("v1"), "p", 3)
    ));

    let v1 = version("v1");
    let first = fleet.deploy(&v1).await;
    transcript.add("bundle 1 in force, 4 replicas serve v1");
    let answer = caller.generate(fleet.entry(0), MODEL, "p", 3).await;
    transcript.add(format!(
        "generate: {}",
        describe_generate(&answer, &v1, "p", 3)
    ));
    let path = format!("{SERVICE}/rooms");
    transcript.add(format!(
        "service: {}",
        describe_call(&caller.call(fleet.entry(1), "GET", &path, "").await)
    ));

    let v2 = version("v2");
    fleet.upload(&v2);
    let second = fleet.bundle(2, Some(digest(&first)), &v2);
    let published = fleet.publish(&second).await;
    transcript.add(format!(
        "bundle 2: {}",
        published.map_or_else(|it| it.to_string(), |_| "accepted".to_owned())
    ));
    let concurrent = fleet.bundle(2, Some(digest(&first)), &version("v3"));
    let refused = fleet.publish(&concurrent).await;
    transcript.add(format!(
        "a rival bundle 2: {}",
        refused.expect_err("it lost")
    ));
    fleet
        .wait_until("v2 is known at all entries", || fleet.is_routable(&v2))
        .await;
    let answer = caller.generate(fleet.entry(1), MODEL, "p", 3).await;
    transcript.add(format!(
        "generate: {}",
        describe_generate(&answer, &v2, "p", 3)
    ));
    let origin = fleet.origin.state.bytes_read.get();
    transcript.add(format!(
        "origin gave each version once: {}",
        origin
            == v1.size_bytes() + v2.size_bytes() + (v1.manifest.len() + v2.manifest.len()) as u64
    ));

    fleet.restart_agent(0).await.unwrap();
    fleet
        .wait_until("the restarted agent serves", || {
            fleet.serving_count(&v2) == 4
        })
        .await;
    transcript.add("an agent restarted with nothing serves v2 again");
    golden("publish_and_serve", &transcript.text());
}

#[actix_rt::test]
async fn address_answers() {
    let fleet = fleet(shape(4, 1, 0)).await;
    fleet.deploy(&version("v1")).await;
    let all = || {
        fleet.entries.iter().flatten().all(|it| {
            it.node()
                .membership
                .borrow()
                .of(InstanceRole::Entry)
                .filter(|(_, it)| it.connected)
                .count()
                == 3
        })
    };
    fleet
        .wait_until("entries are connected to each other", all)
        .await;
    let mut transcript = Transcript::default();
    let name = |address: &str| {
        let has_address = |it: &usize| fleet.entry(*it).to_string() == address;
        (0..4)
            .find(has_address)
            .map_or("unknown".to_owned(), |it| format!("entry-{it}"))
    };
    let ask = async |entry: usize, zone: &str| {
        let answer = fleet
            .caller()
            .addresses(fleet.entry(entry), zone)
            .await
            .expect("addresses");
        let addresses: Vec<String> = answer
            .addresses
            .iter()
            .map(|it| format!("{} {} weight {}", name(&it.address), it.zone, it.weight))
            .collect();
        format!("{} for {} s", addresses.join(", "), answer.ttl_s)
    };
    transcript.add(format!("zone-0 by entry-0: {}", ask(0, "zone-0").await));
    transcript.add(format!("zone-0 by entry-3: {}", ask(3, "zone-0").await));
    transcript.add(format!("zone-1 by entry-0: {}", ask(0, "zone-1").await));
    fleet.entries[1].as_ref().unwrap().node().start_drain();
    let leaving_known = || {
        let membership = fleet.entries[0]
            .as_ref()
            .unwrap()
            .node()
            .membership
            .borrow();
        membership
            .iter()
            .any(|(_, it)| it.notice.as_ref().is_some_and(|it| it.leaving))
    };
    fleet
        .wait_until("entry-0 has the notice that entry-1 leaves", leaving_known)
        .await;
    transcript.add(format!(
        "zone-1 once entry-1 leaves: {}",
        ask(0, "zone-1").await
    ));
    transcript.add(format!("by entry-1 itself: {}", ask(1, "zone-1").await));
    golden("address_answers", &transcript.text());
}

#[actix_rt::test]
async fn a_streamed_answer() {
    let fleet = fleet(shape(1, 1, 0)).await;
    fleet.deploy(&version("v1")).await;
    let caller = fleet.caller().with_header("x-request-id", "night-watch-1");
    let mut stream = caller
        .generate_stream(fleet.entry(0), MODEL, 3)
        .await
        .expect("an answer");
    let mut text = String::new();
    while let Some(Ok(bytes)) = stream.next().await {
        text += &String::from_utf8_lossy(&bytes);
    }
    golden("a_streamed_answer", &text);
}

/// Agent that reports to serve everything, and refuses all work with an error kind set by the test.
struct RefusingAgent {
    scope: Rc<Scope>,
    kind: RefCell<Kind>,
}

impl Handler for RefusingAgent {
    fn call(&self, call: Call, outgoing: Outgoing) {
        let kind = *self.kind.borrow();
        self.scope.spawn(async move {
            match call {
                Call::Watch => {
                    let pin = Pin {
                        model: MODEL.to_owned(),
                        adapter: None,
                        version: "v1".to_owned(),
                    };
                    let notice = Notice {
                        node: "refuser".to_owned(),
                        bundle: 1,
                        serving: vec![pin],
                        service: Some(SERVICE.to_owned()),
                        capacity: 8,
                        ..Notice::default()
                    };
                    while outgoing.send(&Reply::Notice(notice.clone())).await {
                        actix_rt::time::sleep(Duration::from_millis(100)).await;
                    }
                }
                Call::Work(work) => {
                    let request = work.request;
                    outgoing.finish(&Reply::Refused { request, kind }).await;
                }
                _ => {}
            }
        });
    }

    fn refused(&self, _: Refusal) {}

    fn malformed(&self) {}
}

#[actix_rt::test]
async fn error_response_of_each_kind() {
    let fleet = fleet(shape(1, 0, 0)).await;
    let scope = Rc::new(Scope::default());
    let refusing_agent = Rc::new(RefusingAgent {
        scope: Rc::clone(&scope),
        kind: RefCell::new(Kind::Busy),
    });
    let limits = Limits {
        frame_bytes: 1 << 20,
        streams: 64,
        connections: 8,
        shared_bytes: 16 << 20,
        buffers: SMALL_BUFFERS,
    };
    let handler = Rc::clone(&refusing_agent) as Rc<dyn Handler>;
    let server = Server::start("127.0.0.1:0", limits, Rc::clone(&scope), handler)
        .await
        .unwrap();
    fleet.list.state.add(Instance {
        id: "refuser".to_owned(),
        zone: "zone-0".to_owned(),
        region: "region-0".to_owned(),
        role: InstanceRole::Agent,
        state: InstanceState::Live,
        peer: server.address().to_string(),
        public: None,
        admin: None,
        service: None,
    });
    let v1 = version("v1");
    fleet.publish(&fleet.bundle(1, None, &v1)).await.unwrap();
    let ready = || {
        let node = fleet.entries[0].as_ref().unwrap().node();
        let seen = node
            .membership
            .borrow()
            .iter()
            .any(|(_, it)| it.notice.is_some());
        seen && *node.bundle_number.borrow() == 1
    };
    wait_until("the entry has the agent's notice and the bundle", ready).await;
    let caller = fleet.caller().with_header("x-request-id", "r-1");
    let mut transcript = Transcript::default();
    for kind in Kind::ALL.iter().copied() {
        *refusing_agent.kind.borrow_mut() = kind;
        // Refusals with the kind of a broken connection make the replica suspect for some time.
        let not_suspect = || {
            let node = fleet.entries[0].as_ref().unwrap().node();
            let now = node.clock.now();
            node.membership
                .borrow()
                .iter()
                .any(|(_, it)| it.accepts_work(now))
        };
        wait_until("the refusing agent is no longer suspect", not_suspect).await;
        let answer = caller.generate(fleet.entry(0), MODEL, "p", 1).await;
        let error = answer.error.expect("an error");
        transcript.add(format!(
            "{} {}",
            answer.status,
            serde_json::to_string(&error).unwrap()
        ));
    }
    golden("error_kinds", &transcript.text());
}

#[actix_rt::test]
async fn bad_requests_name_the_invalid_field() {
    let mut shape = shape(1, 1, 1);
    shape.settings = "limits: {body_bytes: 2048, header_bytes: 1024}".to_owned();
    let fleet = fleet(shape).await;
    let v1 = version("v1");
    let mut bundle = fleet.bundle(1, None, &v1);
    let mut restricted = team("guides", "guides-token");
    "normal".clone_into(&mut restricted.class);
    restricted.models.clear();
    restricted.requests_per_s = 1;
    bundle.teams.push(restricted);
    fleet.upload(&v1);
    fleet.publish(&bundle).await.unwrap();
    fleet
        .wait_until("ready", || {
            fleet.is_routable(&v1) && fleet.serving_count(&v1) == 1
        })
        .await;

    let entry = fleet.entry(0);
    let duty = fleet.caller().with_header("x-request-id", "r-1");
    let guides = gradeloft_standin::caller::Caller::new("guides", "guides-token");
    let guides = guides.with_header("x-request-id", "r-2");
    let mut transcript = Transcript::default();
    let mut show = |what: &str, answer: gradeloft_standin::caller::GenerateResponse| {
        let error = answer.error.map_or("none".to_owned(), |it| {
            format!("{}: {}", it.kind, it.message)
        });
        transcript.add(format!("{what}: {} {error}", answer.status));
    };
    let body = |text: &str| text.to_owned();
    show("no JSON", duty.generate_raw(entry, MODEL, body("{")).await);
    show(
        "no prompt",
        duty.generate_raw(entry, MODEL, body("{\"max_tokens\": 1}"))
            .await,
    );
    show(
        "unknown field",
        duty.generate_raw(entry, MODEL, body("{\"prompt\": \"\", \"x\": 1}"))
            .await,
    );
    show("zero tokens", duty.generate(entry, MODEL, "p", 0).await);
    show(
        "oversized body",
        duty.generate(entry, MODEL, &"p".repeat(4000), 1).await,
    );
    show("unknown model", duty.generate(entry, "other", "p", 1).await);
    let adapter = body("{\"prompt\": \"p\", \"adapter\": \"dialect\"}");
    show(
        "unknown adapter",
        duty.generate_raw(entry, MODEL, adapter).await,
    );
    show(
        "unknown class",
        duty.with_header("x-class", "urgent")
            .generate(entry, MODEL, "p", 1)
            .await,
    );
    show(
        "bad deadline",
        duty.with_header("x-deadline-ms", "soon")
            .generate(entry, MODEL, "p", 1)
            .await,
    );
    show(
        "passed deadline",
        duty.with_header("x-deadline-ms", "0")
            .generate(entry, MODEL, "p", 1)
            .await,
    );
    let stranger = |team: &str, token: &str| gradeloft_standin::caller::Caller::new(team, token);
    show(
        "unknown team",
        stranger("nobody", TOKEN)
            .generate(entry, MODEL, "p", 1)
            .await,
    );
    show(
        "wrong token",
        stranger(TEAM, "wrong").generate(entry, MODEL, "p", 1).await,
    );
    show(
        "no token",
        stranger(TEAM, "").generate(entry, MODEL, "p", 1).await,
    );
    show(
        "another team's model",
        guides.generate(entry, MODEL, "p", 1).await,
    );
    let path = format!("{SERVICE}/rooms");
    let above = guides
        .with_header("x-class", "critical")
        .call(entry, "GET", &path, "")
        .await;
    transcript.add(format!(
        "a class above the team's: {}",
        describe_call(&above)
    ));
    let invalid_repeatable = guides
        .with_header("x-repeatable", "maybe")
        .call(entry, "GET", &path, "")
        .await;
    transcript.add(format!(
        "neither yes nor no: {}",
        describe_call(&invalid_repeatable)
    ));
    let long = guides
        .with_header("idempotency-key", &"k".repeat(300))
        .call(entry, "POST", &path, "")
        .await;
    transcript.add(format!("too long a key: {}", describe_call(&long)));
    let unknown = guides.call(entry, "GET", "portal/rooms", "").await;
    transcript.add(format!("unknown service: {}", describe_call(&unknown)));
    let headers = guides
        .with_header("x-long", &"h".repeat(2000))
        .call(entry, "GET", &path, "")
        .await;
    transcript.add(format!("oversized headers: {}", describe_call(&headers)));
    let mut last = guides.call(entry, "GET", &path, "").await;
    for _ in 0..3 {
        last = guides.call(entry, "GET", &path, "").await;
    }
    transcript.add(format!(
        "over its rate: {}, Retry-After {:?}",
        describe_call(&last),
        last.retry_after
    ));
    golden("bad_requests", &transcript.text());
}
