//! Checks the arithmetic of the tables in `docs/CAPACITY.md`.

use std::{fs, path::Path};

fn number(cell: &str) -> Option<f64> {
    cell.trim().replace(',', "").parse().ok()
}

#[test]
fn each_result_is_slope_times_size() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    let page = fs::read_to_string(path).expect("docs/CAPACITY.md can be read");
    let mut rows = 0;
    for line in page.lines().filter(|it| it.starts_with('|')) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').collect();
        let [what, slope, size, result, _] = cells.as_slice() else {
            continue;
        };
        let (Some(slope), Some(size), Some(result)) = (number(slope), number(size), number(result))
        else {
            continue;
        };
        rows += 1;
        let product = slope * size;
        let close = (product - result).abs() <= result * 0.005;
        assert!(
            close,
            "{what}: {slope} x {size} is {product}, the page says {result}"
        );
    }
    assert!(20 <= rows, "{rows} rows were found");
}
