//! Differences between two bundles.

use gradeloft_wire::border::bundle::Bundle;
use serde::Serialize;
use serde_json::Value;

/// Returns one line for each added, removed or changed item, such as
/// `~ model bulletin: version "v1" -> "v2"`.
pub fn lines(old: Option<&Bundle>, new: &Bundle) -> Vec<String> {
    let mut lines = Vec::new();
    let empty = Vec::new;
    let models = old.map_or_else(empty, |it| by_name(&it.models));
    push_changes("model", &models, &by_name(&new.models), &mut lines);
    let services = old.map_or_else(empty, |it| by_name(&it.services));
    push_changes("service", &services, &by_name(&new.services), &mut lines);
    let teams = old.map_or_else(empty, |it| by_name(&it.teams));
    push_changes("team", &teams, &by_name(&new.teams), &mut lines);
    let publishers = old.map_or_else(empty, |it| by_name(&it.publishers));
    push_changes(
        "publisher",
        &publishers,
        &by_name(&new.publishers),
        &mut lines,
    );
    let rollout = |it: &Bundle| vec![("".to_owned(), to_json(&it.rollout))];
    let before = old.map_or_else(|| vec![(String::new(), Value::Null)], rollout);
    push_changes("rollout", &before, &rollout(new), &mut lines);
    lines
}

type NamedValues = Vec<(String, Value)>;

fn by_name<T: Serialize>(items: &[T]) -> NamedValues {
    let values = items.iter().map(to_json);
    values
        .map(|it| (it["name"].as_str().unwrap_or_default().to_owned(), it))
        .collect()
}

fn to_json(item: &impl Serialize) -> Value {
    serde_json::to_value(item).unwrap_or_default()
}

fn push_changes(kind: &str, old: &NamedValues, new: &NamedValues, lines: &mut Vec<String>) {
    let find = |all: &NamedValues, name: &str| {
        all.iter()
            .find(|(it, _)| it == name)
            .map(|(_, value)| value.clone())
    };
    for (name, after) in new {
        match find(old, name) {
            None => lines.push(format!("+ {kind} {name}")),
            Some(before) if before != *after => {
                let fields = changed_fields(&before, after);
                let title = format!("{kind} {name}");
                lines.push(format!("~ {}: {}", title.trim(), fields.join(", ")));
            }
            Some(_) => {}
        }
    }
    for (name, _) in old.iter().filter(|(name, _)| find(new, name).is_none()) {
        lines.push(format!("- {kind} {name}"));
    }
}

fn changed_fields(before: &Value, after: &Value) -> Vec<String> {
    let (Some(old), Some(new)) = (before.as_object(), after.as_object()) else {
        return vec![format!("{before} -> {after}")];
    };
    let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
    keys.sort_unstable();
    keys.dedup();
    let missing = Value::Null;
    let pairs = keys.into_iter().map(|key| {
        (
            key,
            old.get(key).unwrap_or(&missing),
            new.get(key).unwrap_or(&missing),
        )
    });
    let changed = pairs.filter(|(_, old, new)| old != new);
    changed
        .map(|(key, old, new)| format!("{key} {old} -> {new}"))
        .collect()
}
