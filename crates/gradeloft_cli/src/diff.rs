//! What a bundle changes.

use gradeloft_wire::border::bundle::Bundle;
use serde::Serialize;
use serde_json::Value;

/// One line for each thing that is added, removed or changed, like `~ model bulletin: version "v1"
/// -> "v2"`.
pub fn lines(old: Option<&Bundle>, new: &Bundle) -> Vec<String> {
    let mut lines = Vec::new();
    let empty = Vec::new;
    let models = old.map_or_else(empty, |it| named(&it.models));
    compare("model", &models, &named(&new.models), &mut lines);
    let services = old.map_or_else(empty, |it| named(&it.services));
    compare("service", &services, &named(&new.services), &mut lines);
    let teams = old.map_or_else(empty, |it| named(&it.teams));
    compare("team", &teams, &named(&new.teams), &mut lines);
    let publishers = old.map_or_else(empty, |it| named(&it.publishers));
    compare(
        "publisher",
        &publishers,
        &named(&new.publishers),
        &mut lines,
    );
    let rollout = |it: &Bundle| vec![("".to_owned(), value(&it.rollout))];
    let before = old.map_or_else(|| vec![(String::new(), Value::Null)], rollout);
    compare("rollout", &before, &rollout(new), &mut lines);
    lines
}

type Named = Vec<(String, Value)>;

fn named<T: Serialize>(items: &[T]) -> Named {
    let values = items.iter().map(value);
    values
        .map(|it| (it["name"].as_str().unwrap_or_default().to_owned(), it))
        .collect()
}

fn value(item: &impl Serialize) -> Value {
    serde_json::to_value(item).unwrap_or_default()
}

fn compare(what: &str, old: &Named, new: &Named, lines: &mut Vec<String>) {
    let find = |all: &Named, name: &str| {
        all.iter()
            .find(|(it, _)| it == name)
            .map(|(_, value)| value.clone())
    };
    for (name, after) in new {
        match find(old, name) {
            None => lines.push(format!("+ {what} {name}")),
            Some(before) if before != *after => {
                let fields = fields(&before, after);
                let title = format!("{what} {name}");
                lines.push(format!("~ {}: {}", title.trim(), fields.join(", ")));
            }
            Some(_) => {}
        }
    }
    for (name, _) in old.iter().filter(|(name, _)| find(new, name).is_none()) {
        lines.push(format!("- {what} {name}"));
    }
}

fn fields(before: &Value, after: &Value) -> Vec<String> {
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
