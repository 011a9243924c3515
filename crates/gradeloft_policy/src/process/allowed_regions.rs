//! Regions in which the requests of a route or team may be served.

use std::{collections::BTreeSet, fmt, rc::Rc};

/// Regions in which a request may be served.
///
/// ```
/// use gradeloft_policy::process::allowed_regions::AllowedRegions;
/// let route = AllowedRegions::of(["north".to_owned(), "south".to_owned()]);
/// let team = AllowedRegions::of(["south".to_owned(), "west".to_owned()]);
/// assert!(route.intersect(&team).allows("south"));
/// assert!(!route.intersect(&team).allows("north"));
/// assert!(AllowedRegions::of([]).allows("anywhere"));
/// assert_eq!(route.to_string(), "north,south");
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AllowedRegions {
    /// `None` allows all regions; an empty set allows none.
    regions: Option<Rc<BTreeSet<String>>>,
}

impl AllowedRegions {
    /// Returns a set of the given regions, or of all regions if there are none.
    pub fn of(regions: impl IntoIterator<Item = String>) -> AllowedRegions {
        let regions: BTreeSet<String> = regions.into_iter().collect();
        AllowedRegions {
            regions: (!regions.is_empty()).then(|| Rc::new(regions)),
        }
    }

    /// Returns the regions that both sets allow. Two lists without a common region allow none.
    pub fn intersect(&self, other: &AllowedRegions) -> AllowedRegions {
        let regions = match (&self.regions, &other.regions) {
            (Some(one), Some(other)) => Some(Rc::new(one.intersection(other).cloned().collect())),
            (Some(only), None) | (None, Some(only)) => Some(Rc::clone(only)),
            (None, None) => None,
        };
        AllowedRegions { regions }
    }

    /// Returns whether a region is allowed.
    pub fn allows(&self, region: &str) -> bool {
        self.regions.as_ref().is_none_or(|it| it.contains(region))
    }

    /// Returns whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.regions.is_none()
    }
}

/// Writes the regions separated by commas, or `*` for all regions.
impl fmt::Display for AllowedRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = &self.regions else {
            return f.write_str("*");
        };
        for (idx, region) in regions.iter().enumerate() {
            if 0 < idx {
                f.write_str(",")?;
            }
            f.write_str(region)?;
        }
        Ok(())
    }
}
