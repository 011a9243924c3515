//! Parts of a prompt, as its caller declares them.

/// Most parts of one prompt that are considered. The declaration comes from the caller, and each part
/// costs a digest.
const MAX_PARTS: usize = 64;

/// Returns the ids of the parts that a prompt may share with other prompts.
///
/// `declared` lists the parts in order, as comma-separated `ID:TOKENS` entries. The last part belongs
/// to the request or its session alone and is left out.
///
/// ```
/// use gradeloft_policy::request::prompt;
/// assert_eq!(prompt::shared_parts("5c1e:800, 91bd:410,e440:250"), ["5c1e", "91bd"]);
/// assert!(prompt::shared_parts("e440:250").is_empty());
/// ```
pub fn shared_parts(declared: &str) -> Vec<&str> {
    let Some((shared, _last)) = declared.rsplit_once(',') else {
        return Vec::new();
    };
    let mut ids: Vec<&str> = Vec::new();
    for entry in shared.split(',') {
        let id = entry.split(':').next().unwrap_or_default().trim();
        if !id.is_empty() && !ids.contains(&id) && ids.len() < MAX_PARTS {
            ids.push(id);
        }
    }
    ids
}
