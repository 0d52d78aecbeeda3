//! Self-contained HTML page with plots.

use std::fmt::Write;

use banyanarch::decide::LengthClass;

use crate::load::player::Sample;

const WIDTH: f64 = 860.0;
const HEIGHT: f64 = 320.0;
const MARGIN: f64 = 45.0;
/// Bounds of the logarithmic time axis, as powers of ten of milliseconds.
const AXIS_DECADES: (f64, f64) = (0.0, 5.0);
const COLOURS: [&str; 4] = ["#1b7f5c", "#2b5fad", "#b3641b", "#8b2f62"];

/// Renders the page.
pub(crate) fn render_page(
    title: &str,
    text: &str,
    samples: &[Sample],
    alone: &[Vec<Sample>],
) -> String {
    let mut out = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>body{{font:15px sans-serif;max-width:900px;margin:2em auto}}\
         pre{{background:#f4f4f4;padding:1em;overflow:auto}}svg{{border:1px solid #ccc}}\
         text{{font:11px sans-serif}}</style></head><body><h1>{title}</h1><pre>{}</pre>",
        escape_html(text)
    );
    out.push_str("<h2>Time to first token, share of requests</h2><p>Dashed: the class alone.</p>");
    out.push_str(&distribution_plot(samples, alone));
    out.push_str("<h2>Time to first token over the run</h2><p>Crosses: not completed.</p>");
    out.push_str(&timeline_plot(samples));
    out.push_str("</body></html>\n");
    out
}

/// Plots, for each class, the fraction of requests whose first token arrived within a time.
fn distribution_plot(samples: &[Sample], alone: &[Vec<Sample>]) -> String {
    let mut plot = svg_open_tag();
    for decade in [0.0, 1.0, 2.0, 3.0, 4.0, 5.0] {
        let label = format!("{} ms", 10f64.powf(decade));
        plot.push_str(&vertical_grid_line(x_of_ms(10f64.powf(decade)), &label));
    }
    for (index, class) in LengthClass::ALL.into_iter().enumerate() {
        let mixed = first_tokens_ms(samples, class);
        let class_alone: Vec<f64> = alone
            .iter()
            .flat_map(|part| first_tokens_ms(part, class))
            .collect();
        plot.push_str(&distribution_line(mixed, COLOURS[index], ""));
        plot.push_str(&distribution_line(class_alone, COLOURS[index], "5,4"));
    }
    plot.push_str(&legend());
    plot + "</svg>"
}

/// Plots the time to first token of each request over its arrival.
fn timeline_plot(samples: &[Sample]) -> String {
    let mut plot = svg_open_tag();
    let last_s = samples
        .iter()
        .map(|sample| sample.request.arrival.as_secs_f64())
        .fold(1.0, f64::max);
    let x_of = |at_s: f64| MARGIN + (WIDTH - 2.0 * MARGIN) * at_s / last_s;
    for tick in 0..=4 {
        let at_s = last_s * f64::from(tick) / 4.0;
        plot.push_str(&vertical_grid_line(x_of(at_s), &format!("{at_s:.0} s")));
    }
    for decade in 1..=5 {
        let y = y_of_ms(10f64.powi(decade));
        let _ = write!(
            plot,
            "<text x=\"2\" y=\"{y:.0}\">{} ms</text>",
            10i64.pow(decade as u32)
        );
    }
    for sample in samples {
        let colour = COLOURS[class_index(sample.request.class())];
        let x = x_of(sample.request.arrival.as_secs_f64());
        match sample.result.first_token.filter(|_| sample.is_completed()) {
            Some(first) => {
                let y = y_of_ms(first.as_secs_f64() * 1_000.0);
                let _ = write!(
                    plot,
                    "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"2\" fill=\"{colour}\"/>"
                );
            }
            None => {
                let y = MARGIN / 2.0 + 6.0 * class_index(sample.request.class()) as f64;
                let _ = write!(
                    plot,
                    "<text x=\"{x:.1}\" y=\"{y:.1}\" fill=\"{colour}\">×</text>"
                );
            }
        }
    }
    plot.push_str(&legend());
    plot + "</svg>"
}

fn first_tokens_ms(samples: &[Sample], class: LengthClass) -> Vec<f64> {
    let own = samples
        .iter()
        .filter(|sample| sample.request.class() == class && sample.is_completed());
    let first = own.filter_map(|sample| sample.result.first_token);
    first.map(|first| first.as_secs_f64() * 1_000.0).collect()
}

/// Draws the cumulative distribution of the values as a polyline; `dashes` is the dash pattern.
fn distribution_line(mut values_ms: Vec<f64>, colour: &str, dashes: &str) -> String {
    if values_ms.is_empty() {
        return String::new();
    }
    values_ms.sort_by(f64::total_cmp);
    let count = values_ms.len() as f64;
    let mut points = String::new();
    for (index, value_ms) in values_ms.iter().enumerate() {
        let y = HEIGHT - MARGIN - (HEIGHT - 2.0 * MARGIN) * (index as f64 + 1.0) / count;
        let _ = write!(points, "{:.1},{y:.1} ", x_of_ms(*value_ms));
    }
    format!(
        "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.6\" \
         stroke-dasharray=\"{dashes}\"/>"
    )
}

fn legend() -> String {
    let mut out = String::new();
    for (index, class) in LengthClass::ALL.into_iter().enumerate() {
        let x = WIDTH - MARGIN - 60.0 * (4 - index) as f64;
        let _ = write!(
            out,
            "<text x=\"{x}\" y=\"14\" fill=\"{}\">{class}</text>",
            COLOURS[index]
        );
    }
    out
}

fn svg_open_tag() -> String {
    format!("<svg width=\"{WIDTH}\" height=\"{HEIGHT}\" xmlns=\"http://www.w3.org/2000/svg\">")
}

fn vertical_grid_line(x: f64, label: &str) -> String {
    let bottom = HEIGHT - MARGIN;
    format!(
        "<line x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"{MARGIN}\" y2=\"{bottom}\" stroke=\"#ddd\"/>\
         <text x=\"{x:.1}\" y=\"{}\" text-anchor=\"middle\">{label}</text>",
        bottom + 16.0
    )
}

fn x_of_ms(value_ms: f64) -> f64 {
    MARGIN + (WIDTH - 2.0 * MARGIN) * axis_position(value_ms)
}

fn y_of_ms(value_ms: f64) -> f64 {
    HEIGHT - MARGIN - (HEIGHT - 2.0 * MARGIN) * axis_position(value_ms)
}

/// Returns the position of a value on the logarithmic axis, from 0 to 1.
fn axis_position(value_ms: f64) -> f64 {
    let decade = value_ms
        .max(1.0)
        .log10()
        .clamp(AXIS_DECADES.0, AXIS_DECADES.1);
    (decade - AXIS_DECADES.0) / (AXIS_DECADES.1 - AXIS_DECADES.0)
}

fn class_index(class: LengthClass) -> usize {
    LengthClass::ALL
        .iter()
        .position(|other| *other == class)
        .unwrap_or(0)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
