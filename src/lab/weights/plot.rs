//! Draws the ratio to the lower bound over the number of hosts as SVG.

use std::error::Error;
use std::path::Path;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, IntoDrawingArea, IntoLogRange, LineSeries, RED, SVGBackend,
    WHITE,
};

use super::burst_config::as_float;
use super::report::WeightsReport;

const SIZE_PIXELS: (u32, u32) = (720, 420);

/// Draws the ratios of bursts and baselines to the fluid bound over the number of hosts.
///
/// # Errors
///
/// Fails if the file at `path` cannot be drawn or written.
pub(super) fn plot_curve(path: &Path, reports: &[WeightsReport]) -> Result<(), Box<dyn Error>> {
    let point = |report: &WeightsReport| (as_float(report.hosts as u64), report.burst.ratio);
    let points: Vec<(f64, f64)> = reports.iter().map(point).collect();
    let baseline_points = reports.iter().filter_map(|report| {
        let ratio = report.baseline.as_ref()?.ratio;
        Some((as_float(report.hosts as u64), ratio))
    });
    let baseline_points: Vec<(f64, f64)> = baseline_points.collect();
    let ratio_max = baseline_points
        .iter()
        .chain(&points)
        .map(|point| point.1)
        .fold(2.0, f64::max);
    let hosts_max = points.iter().map(|point| point.0).fold(8.0, f64::max);
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Time to N replicas against the fluid bound",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(
            (4.0..hosts_max * 1.2).log_scale(),
            (0.8..ratio_max * 1.3).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc("hosts")
        .y_desc("seconds / bound")
        .draw()?;
    let burst_line = chart.draw_series(LineSeries::new(points.clone(), &BLUE))?;
    burst_line.label("savoryswitch");
    chart.draw_series(points.iter().map(|point| Circle::new(*point, 3, BLUE)))?;
    let baseline_line = chart.draw_series(LineSeries::new(baseline_points.clone(), &RED))?;
    baseline_line.label("everyone reads the origin");
    chart.draw_series(
        baseline_points
            .iter()
            .map(|point| Circle::new(*point, 3, RED)),
    )?;
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
