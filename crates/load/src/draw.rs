//! Charts of reports.

use std::path::{Path, PathBuf};

use eyre::{WrapErr, eyre};
use plotters::prelude::*;

use crate::report::Report;

const CHART_SIZE_PX: (u32, u32) = (1_000, 480);
/// Gap between the bars of two ranks, as a fraction of a rank's width.
const BAR_GAP: f64 = 0.2;

/// Draws the 95th percentile of the time to first token by rank, one bar per report, as SVG.
///
/// # Errors
/// If a report can't be read or parsed, or the chart can't be written.
pub fn draw(output: &Path, paths: &[PathBuf]) -> eyre::Result<()> {
    let reports = paths
        .iter()
        .map(|path| {
            let bytes = std::fs::read(path).wrap_err_with(|| path.display().to_string())?;
            serde_json::from_slice(&bytes).wrap_err_with(|| path.display().to_string())
        })
        .collect::<eyre::Result<Vec<Report>>>()?;
    let ranks: Vec<String> = reports
        .iter()
        .flat_map(|report| report.groups.keys())
        .filter(|name| name.starts_with("rank "))
        .cloned()
        .collect::<std::collections::BTreeSet<_>>()
        .into_iter()
        .collect();
    draw_bars(output, &reports, &ranks).map_err(|error| eyre!("{error}"))
}

fn draw_bars(
    output: &Path,
    reports: &[Report],
    ranks: &[String],
) -> Result<(), Box<dyn std::error::Error>> {
    let value = |report: &Report, rank: &String| {
        report.groups.get(rank).map_or(0.0, |group| group.first_token.p95_ms)
    };
    let max_value = reports
        .iter()
        .flat_map(|report| ranks.iter().map(move |rank| value(report, rank)))
        .fold(1.0, f64::max);
    let root = SVGBackend::new(output, CHART_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("First token, 95th percentile (ms)", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..ranks.len() as f64, 0.0..max_value * 1.1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(ranks.len() * 2 + 1)
        .x_label_formatter(&|x| {
            let is_middle = (x.fract() - 0.5).abs() < 0.01;
            ranks.get(*x as usize).filter(|_| is_middle).cloned().unwrap_or_default()
        })
        .draw()?;
    let width = (1.0 - BAR_GAP) / reports.len() as f64;
    for (index, report) in reports.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let bars = ranks.iter().enumerate().map(|(rank_index, rank)| {
            let left = rank_index as f64 + BAR_GAP / 2.0 + width * index as f64;
            Rectangle::new([(left, 0.0), (left + width, value(report, rank))], colour.filled())
        });
        chart
            .draw_series(bars)?
            .label(format!("{} (seed {})", report.name, report.seed))
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
