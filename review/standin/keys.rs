//! The operator takes the only key of the only tenant away.

use std::{collections::HashSet, io, path::Path, time::Duration};

use crate::{
    Verdict,
    fleet::{self, Call, Fleet, ONCE_ROUTE, Scale},
};

const KEY: &str = "jnbanfqasnmgkcuyj8pj";
/// A key that no configuration holds.
const UNKNOWN_KEY: &str = "bvk9m68k7b2ex5wa5xwy";
/// `config-apply-ms`.
const APPLY: Duration = Duration::from_millis(2_000);

pub fn run(case: &Path, trouble: bool) -> io::Result<Verdict> {
    let scale = Scale {
        entries: 3,
        replicas: 2,
        net: 41,
    };
    let tenant = |keys: &str| format!("{{\"name\":\"bozi300\",\"api-keys\":[{keys}],\"priority\":1}}");
    let held = tenant(&format!("\"{KEY}\""));
    let fleet = Fleet::start(scale, case, |it| fleet::config(1, it, ONCE_ROUTE, &held))?;
    std::thread::sleep(Duration::from_secs(4));
    let with_key = send_all(&fleet, "before-key", Some(KEY));
    let unknown = send_all(&fleet, "before-unknown", Some(UNKNOWN_KEY));
    if with_key != [200; 6] || unknown != [401; 6] {
        return Err(io::Error::other("the deployment doesn't serve before the change"));
    }
    let keys = if trouble { tenant("") } else { held };
    let value = fleet::config(2, fleet.origin(), ONCE_ROUTE, &keys);
    fleet.record.line(format_args!("operator: writes {value}"));
    fleet.store.put("keyed.op", "config", &value);
    std::thread::sleep(APPLY + Duration::from_secs(2));
    let kept = send_all(&fleet, "after-key", Some(KEY));
    let unknown = send_all(&fleet, "after-unknown", Some(UNKNOWN_KEY));
    let none = send_all(&fleet, "after-none", None);
    let record = &fleet.record;
    record.line(format_args!(
        "judge: after the change: the first key {kept:?}, a key never held {unknown:?}, no key {none:?}"
    ));
    let ran: HashSet<String> = fleet
        .replicas
        .iter()
        .flat_map(|it| it.ran())
        .map(|it| it.0)
        .collect();
    let forbidden = |id: &&String| {
        let revoked = trouble && id.starts_with("after-key");
        revoked || id.starts_with("after-unknown") || id.starts_with("after-none")
    };
    let forbidden = ran.iter().filter(forbidden).count();
    record.line(format_args!("judge: {forbidden} requests without a key in force ran"));
    if !trouble && kept != [200; 6] {
        return Err(io::Error::other("the key that was kept isn't served"));
    }
    Ok(match forbidden {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Sends six requests, two to each entry, and returns the statuses.
fn send_all(fleet: &Fleet, name: &str, key: Option<&str>) -> [u16; 6] {
    std::array::from_fn(|number| {
        let call = Call {
            path: "/book/2f",
            id: &format!("{name}-{number}"),
            key,
            deadline_ms: 1_500,
            usage: None,
        };
        let answer = fleet::send(&fleet.record, fleet.frontend(number), &call);
        answer.map_or(0, |it| it.status)
    })
}
