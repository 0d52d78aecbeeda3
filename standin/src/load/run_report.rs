//! Result of a run as text, JSON and HTML.

use std::fmt::Write;

use banyanarch::decide::LengthClass;
use serde_json::Value;
use serde_json::json;

use crate::caller::format_ms;
use crate::load::LoadOptions;
use crate::load::figures::ClassFigures;
use crate::load::figures::Figures;
use crate::load::html;
use crate::load::player::Sample;
use crate::load::scenario::Scenario;

/// The result of a run.
#[derive(Clone, Debug)]
pub struct RunReport {
    pub(crate) text: String,
    pub(crate) json: Value,
    pub(crate) html: String,
}

impl RunReport {
    /// Returns the result as a text table.
    pub fn to_text(&self) -> &str {
        &self.text
    }

    /// Returns the result as indented JSON.
    pub fn to_json(&self) -> String {
        format!("{:#}\n", self.json)
    }

    /// Returns an HTML page with plots.
    pub fn to_html(&self) -> &str {
        &self.html
    }

    pub(crate) fn new(
        scenario: &Scenario,
        options: &LoadOptions,
        figures: &Figures,
        samples: &[Sample],
        alone: &[Vec<Sample>],
    ) -> Self {
        let policy = json!(options.policy);
        let policy = policy.as_str().unwrap_or("");
        let title = format!(
            "{}, policy {policy}, objective {}, seed {}",
            scenario.name, scenario.plan.objective, options.seed
        );
        let text = render_text(&title, scenario, figures);
        Self {
            json: json!({
                "scenario": scenario.name,
                "policy": policy,
                "objective": scenario.plan.objective,
                "seed": options.seed,
                "figures": figures,
            }),
            html: html::render_page(&title, &text, samples, alone),
            text,
        }
    }
}

fn render_text(title: &str, scenario: &Scenario, figures: &Figures) -> String {
    let mut out = format!("{title}\n{}\n\n", scenario.about);
    let _ = writeln!(
        out,
        "{:<8}{:>6}{:>7}{:>9}{:>10}{:>8}{:>10}{:>10}{:>10}{:>11}{:>11}{:>10}",
        "class",
        "sent",
        "good",
        "not run",
        "may have",
        "broken",
        "ttft p50",
        "ttft p95",
        "ttft p99",
        "total p95",
        "alone p95",
        "slowdown"
    );
    for class in figures.classes.iter().chain([&figures.all]) {
        out.push_str(&render_row(class));
    }
    for (reason, count) in &figures.reasons {
        let _ = writeln!(out, "{count:>6} {reason}");
    }
    let _ = writeln!(
        out,
        "\nwithin limit {:.1} requests/s, {:.0} prompt tokens/s, {:.1} percent of requests",
        figures.goodput_per_s,
        figures.good_tokens_per_s,
        100.0 * figures.all.good_share()
    );
    if let Some(baseline) = &figures.compared {
        let _ = writeln!(
            out,
            "at capacity {:.0} prompt tokens/s, {:.1} percent of requests; goodput ratio {:.3}",
            baseline.good_tokens_per_s,
            100.0 * baseline.good_share,
            baseline.goodput_ratio
        );
    }
    let _ = writeln!(
        out,
        "wasted engine work {:.1} percent, sendings a request {:.2}",
        100.0 * figures.wasted,
        figures.sendings
    );
    let _ = writeln!(
        out,
        "Jain's index over customers {:.3}, least of a fair share {:.3}",
        figures.jain, figures.least_of_fair
    );
    let _ = writeln!(out, "{}", summary_line(figures));
    out
}

fn render_row(class: &ClassFigures) -> String {
    let slowdown = class
        .slowdown_p95
        .map_or_else(|| "-".to_owned(), |s| format!("{s:.2}"));
    format!(
        "{:<8}{:>6}{:>7}{:>9}{:>10}{:>8}{:>7} ms{:>7} ms{:>7} ms{:>8} ms{:>8} ms{:>10}\n",
        class.class,
        class.sent,
        class.good,
        class.not_run,
        class.may_have_run,
        class.broken,
        format_ms(class.ttft_p50_ms),
        format_ms(class.ttft_p95_ms),
        format_ms(class.ttft_p99_ms),
        format_ms(class.total_p95_ms),
        format_ms(class.alone_p95_ms),
        slowdown,
    )
}

fn summary_line(figures: &Figures) -> String {
    let short = figures.class(LengthClass::Short);
    let slowdown = short.and_then(|class| class.slowdown_p95);
    format!(
        "short slowdown p95 {}, ttft p95 all {} ms, goodput {:.3}",
        slowdown.map_or_else(|| "-".to_owned(), |s| format!("{s:.2}")),
        format_ms(figures.all.ttft_p95_ms),
        figures.all.good_share()
    )
}
