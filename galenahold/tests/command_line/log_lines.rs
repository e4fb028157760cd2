//! Each log event is one line, whatever callers put into it.

use expect_test::expect;
use galenahold::LogLine;

fn line(message: &str, value: &str) -> String {
    let fields = [("team", "councils"), ("path", value), ("empty", "")];
    let line = |arguments: std::fmt::Arguments<'_>| {
        let record = log::Record::builder()
            .level(log::Level::Info)
            .target("galenahold::entry")
            .key_values(&fields)
            .args(arguments)
            .build();
        LogLine::new("2026-12-04T06:00:00.000Z", &record).to_string()
    };
    line(format_args!("{message}"))
}

#[test]
fn plain_event_is_readable() {
    expect![[r#"2026-12-04T06:00:00.000Z INFO galenahold::entry request answered team=councils path=/v1/chat empty="""#]].assert_eq(&line("request answered", "/v1/chat"));
}

#[test]
fn caller_cannot_forge_lines_or_fields() {
    expect![[r#"2026-12-04T06:00:00.000Z INFO galenahold::entry a\r\nb \u{2028}c team=councils path="/x\n2026 INFO forged" empty="""#]].assert_eq(&line("a\r\nb \u{2028}c", "/x\n2026 INFO forged"));
    expect![[r#"2026-12-04T06:00:00.000Z INFO galenahold::entry "done team=other" team=councils path="\" team=other \u{1b}[2J" empty="""#]].assert_eq(&line("done team=other", "\" team=other \u{1b}[2J"));
}
