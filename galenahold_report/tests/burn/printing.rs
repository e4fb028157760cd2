//! The report is rendered as a text table and as an HTML page with escaped names.

use std::time;

use expect_test::expect;
use galenahold_report::{BurnReport, RequestOutcome};

use crate::sample::Sample;

fn sample() -> Sample {
    let sample = Sample::new();
    let now = time::Duration::from_mins(1);
    sample.requests(190, "councils", RequestOutcome::Answered, 400, now);
    sample.requests(10, "councils", RequestOutcome::Answered, 600, now);
    sample.requests(60, "foundry <b>&", RequestOutcome::Answered, 900, now);
    sample.requests(40, "foundry <b>&", RequestOutcome::Failed, 400, now);
    sample
}

#[test]
fn table_lists_the_worst_status_first() {
    let report = sample().report(time::Duration::from_secs(61));
    expect![[r#"
        Service-level burn. Counted by e1.
        A burn rate of 1 uses up the error budget just in its period.

        service  team          objective       5 min    1 h    6 h    3 d  budget left  status
        drafts   foundry <b>&  availability    40.00  40.00  40.00  40.00    -3900.0 %  FAST BURN
        drafts   foundry <b>&  first token      6.00   6.00   6.00   6.00     -500.0 %  FAST BURN
        drafts   foundry <b>&  between tokens   1.00   1.00   1.00   1.00        0.0 %  SLOW BURN
        drafts   councils      availability     0.00   0.00   0.00   0.00      100.0 %  good
        drafts   councils      first token      0.50   0.50   0.50   0.50       50.0 %  good
        drafts   councils      between tokens   1.00   1.00   1.00   1.00        0.0 %  SLOW BURN

        Last hour (refusals: last 3 days):
        drafts / foundry <b>&: 100 requests, wait 4.0 ms mean, 4.0 ms longest, 0 refused inside the rate
        drafts / councils: 200 requests, wait 4.0 ms mean, 4.0 ms longest, 0 refused inside the rate
    "#]].assert_eq(&report.to_string());
}

#[test]
fn page_is_self_contained_and_escapes_names() {
    let page = sample()
        .report(time::Duration::from_secs(61))
        .to_html()
        .unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
    assert!(page.contains("foundry &lt;b&gt;&amp;"));
    assert!(!page.contains("<b>"));
    for outside in ["src=", "href=", "url(", "@import", "<script"] {
        assert!(!page.contains(outside), "{outside}");
    }
}

#[test]
fn report_round_trips_through_json() {
    let report = sample().report(time::Duration::from_secs(61));
    let text = serde_json::to_string(&report).unwrap();
    let read: BurnReport = serde_json::from_str(&text).unwrap();
    assert_eq!(read, report);
}

#[test]
fn report_without_counts_renders_as_page() {
    let report = Sample::new().report(time::Duration::ZERO);
    assert!(report.to_html().unwrap().contains("Burn rates"));
}
