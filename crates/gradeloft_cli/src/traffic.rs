//! Sums the bytes that processes sent, by purpose, and the reasons why requests found no replica,
//! from logs.
//!
//! Each process logs its counts since its start every few seconds; a count that decreases means that
//! the process restarted.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::explain::Line;

/// Counts by name.
type Counts = BTreeMap<String, u64>;

/// Traffic of all processes.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Traffic {
    /// Processes that logged their traffic.
    pub processes: usize,
    /// Bytes by purpose and reach, such as `loads/near`.
    pub bytes: Counts,
    /// Calls to the platform's store, by table.
    pub store_calls: Counts,
    /// Requests that found no replica, by the most frequent reason among the replicas.
    pub refused: Counts,
}

/// Sums the traffic and refusals in log lines.
///
/// ```
/// let logs = "INFO | traffic\tnode=e-1 sent=\"loads/near:10\" store_calls=\"operator:2\"\n\
///     INFO | traffic\tnode=e-1 sent=\"loads/near:25\" store_calls=\"operator:3\"\n\
///     INFO | traffic\tnode=e-1 sent=\"loads/near:4\" store_calls=\"operator:1\"";
/// let traffic = gradeloft_cli::traffic::sum(logs.lines());
/// // The process restarted after the second line.
/// assert_eq!(traffic.bytes["loads/near"], 29);
/// assert_eq!(traffic.store_calls["operator"], 4);
/// ```
pub fn sum<'a>(logs: impl Iterator<Item = &'a str>) -> Traffic {
    let mut traffic = Traffic::default();
    let mut last: HashMap<String, (Counts, Counts)> = HashMap::new();
    for line in logs.filter_map(Line::parse) {
        match line.event.as_str() {
            "request" => traffic.count_refusal(&line),
            "traffic" => {
                let node = line.field("node").unwrap_or("-").to_owned();
                let current = (
                    parse_counts(&line, "sent"),
                    parse_counts(&line, "store_calls"),
                );
                let previous = last.insert(node, current.clone()).unwrap_or_default();
                add_growth(&mut traffic.bytes, &previous.0, current.0);
                add_growth(&mut traffic.store_calls, &previous.1, current.1);
            }
            _ => {}
        }
    }
    traffic.processes = last.len();
    traffic
}

impl Traffic {
    fn count_refusal(&mut self, line: &Line) {
        let rejections = parse_counts(line, "none_free");
        let most_frequent = rejections.iter().max_by_key(|(_, count)| **count);
        let reason = match (line.field("outcome"), most_frequent) {
            (Some("no_replica"), Some((reason, count))) if 0 < *count => reason.as_str(),
            (Some("no_replica"), _) => "none",
            (Some("behind"), _) => "behind",
            _ => return,
        };
        *self.refused.entry(reason.to_owned()).or_default() += 1;
    }
}

fn add_growth(sums: &mut Counts, previous: &Counts, current: Counts) {
    let restarted = current
        .iter()
        .any(|(name, count)| previous.get(name).is_some_and(|it| count < it));
    for (name, count) in current {
        let counted = match restarted {
            true => 0,
            false => previous.get(&name).copied().unwrap_or_default(),
        };
        *sums.entry(name).or_default() += count - counted;
    }
}

fn parse_counts(line: &Line, field: &str) -> Counts {
    let rows = line.field(field).unwrap_or_default().split(',');
    let rows = rows.filter_map(|it| it.split_once(':'));
    rows.filter_map(|(name, count)| Some((name.to_owned(), count.parse().ok()?)))
        .collect()
}
