//! An agent freezes between its check of the staged pieces and its order, and pieces turn bad
//! meanwhile.

use std::{
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{self, Call, Fleet, Scale, Signal},
    weights::MODEL,
};

/// Pieces that turn bad: 2 of 48, below 0.06.
const ROTTEN: [u32; 2] = [17, 40];
/// The replica that loads version 2 last, by the addresses of the nine.
const REPLICA: usize = 2;
/// Time for which the agent stands still.
const FREEZE: Duration = Duration::from_secs(4);
/// Time from the start of the freeze until pieces turn bad.
const BEFORE_ROT: Duration = Duration::from_millis(300);
const KEY: &str = "jnbanfqasnmgkcuyj8pj";
/// Clients, each with one stream at a time.
const CLIENTS: usize = 40;
/// Prompt and output tokens, as on the sheet.
const USAGE: (u64, u64) = (1_290, 126);

pub fn run(case: &Path, trouble: bool) -> io::Result<Verdict> {
    let scale = Scale {
        entries: 3,
        replicas: 9,
        net: 40,
    };
    let tenants = format!("{{\"name\":\"bozi300\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}");
    let fleet = Fleet::start(scale, case, |it| fleet::config(1, it, "", &tenants))?;
    std::thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| start_client(&fleet, client, &stop, &served))
        .collect();
    std::thread::sleep(Duration::from_secs(8));
    let result = switch_version(&fleet, trouble);
    std::thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::Relaxed);
    for it in clients {
        // A client has nothing to return.
        let _ = it.join();
    }
    let tokens: Vec<(u64, u64)> = fleet.replicas.iter().map(|it| it.tokens()).collect();
    let served = served.load(Ordering::Relaxed);
    let record = &fleet.record;
    record.line(format_args!("judge: {served} streams were served whole"));
    record.line(format_args!(
        "judge: tokens made, and made with a layer that was taken with a bad piece: {tokens:?}"
    ));
    result?;
    if served == 0 {
        return Err(io::Error::other("nothing was served"));
    }
    Ok(match tokens.iter().all(|it| it.1 == 0) {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

fn start_client(
    fleet: &Fleet,
    client: usize,
    stop: &Arc<AtomicBool>,
    served: &Arc<AtomicUsize>,
) -> std::thread::JoinHandle<()> {
    let (stop, served) = (Arc::clone(stop), Arc::clone(served));
    let record = Arc::clone(&fleet.record);
    let to = fleet.frontend(client);
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(130 * client as u64));
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let call = Call {
                path: "/stream/2f",
                id: &format!("{client:04x}{number:04x}"),
                key: Some(KEY),
                deadline_ms: 6_000,
                usage: Some(USAGE),
            };
            let answer = fleet::send(&record, to, &call);
            if answer.is_ok_and(|it| it.status == 200 && it.whole) {
                served.fetch_add(1, Ordering::Relaxed);
            } else {
                std::thread::sleep(Duration::from_millis(250));
            }
        }
    })
}

/// Names a version, and freezes an agent between its check of the pieces and its order.
fn switch_version(fleet: &Fleet, trouble: bool) -> io::Result<()> {
    let replica = &fleet.replicas[REPLICA];
    let value = format!("{{\"model-id\":\"{MODEL}\",\"version\":2}}");
    fleet.store.put("keyed.op", &format!("version/{MODEL}"), &value);
    fleet.record.line(format_args!("operator: names version 2"));
    wait("check of the pieces", || replica.checked(2))?;
    let ordered = || replica.accepted() == Some(2);
    if trouble && !ordered() {
        fleet.signal_agent(REPLICA, Signal::Stop);
        std::thread::sleep(BEFORE_ROT);
        replica.rot(&ROTTEN);
        std::thread::sleep(FREEZE - BEFORE_ROT);
        fleet.signal_agent(REPLICA, Signal::Continue);
    }
    wait("order", ordered)?;
    wait("load", || replica.version() == Some(2))
}

fn wait(what: &str, done: impl Fn() -> bool) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(15);
    while !done() {
        if until < Instant::now() {
            return Err(io::Error::other(format!("no {what} in time")));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}
