//! Line charts as SVG.

use std::path::Path;

use plotters::prelude::*;

/// A named curve.
pub(crate) struct Curve {
    /// Name in the legend.
    pub(crate) name: String,
    /// Points as x and y.
    pub(crate) points: Vec<(f64, f64)>,
}

/// Draws curves into an SVG file; returns the error as text.
pub(crate) fn draw(
    path: &Path,
    title: &str,
    (x, y): (&str, &str),
    curves: &[Curve],
) -> Result<(), String> {
    let points = || curves.iter().flat_map(|it| &it.points);
    let max = |values: Vec<f64>| values.into_iter().fold(1.0, f64::max);
    let x_max = max(points().map(|it| it.0).collect());
    let y_max = max(points().map(|it| it.1).collect());
    let area = SVGBackend::new(path, (900, 500)).into_drawing_area();
    area.fill(&WHITE).map_err(|it| it.to_string())?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)
        .map_err(|it| it.to_string())?;
    chart
        .configure_mesh()
        .x_desc(x)
        .y_desc(y)
        .draw()
        .map_err(|it| it.to_string())?;
    for (idx, curve) in curves.iter().enumerate() {
        let color = Palette99::pick(idx).to_rgba();
        let series = LineSeries::new(curve.points.iter().copied(), color.stroke_width(2));
        let drawn = chart.draw_series(series).map_err(|it| it.to_string())?;
        drawn
            .label(curve.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color.stroke_width(2)));
    }
    let labels = chart.configure_series_labels().border_style(BLACK).draw();
    labels.map_err(|it| it.to_string())?;
    area.present().map_err(|it| it.to_string())
}
