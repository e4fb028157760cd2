//! Prints what became of requests, by route: `stream_table LOG`.
//!
//! Joins the log lines `request ended` and `stream ended` of all entry instances in one file. A stream is late
//! if its first event misses the objective, or if a pause is longer than the route allows.

use std::collections;
use std::env;
use std::fs;
use std::io;
use std::io::BufRead;

type Fields = collections::HashMap<String, String>;

#[derive(Debug, Default)]
struct RouteTotals {
    objective_ms: u64,
    gap_ms: u64,
    begun: u64,
    fine: u64,
    late_waiting: u64,
    late_at_server: u64,
    late_pause: u64,
    unfinished: u64,
    refusals: collections::BTreeMap<String, u64>,
}

fn main() -> io::Result<()> {
    let Some(path) = env::args().nth(1) else {
        eprintln!("usage: stream_table LOG");
        return Ok(());
    };
    let mut requests = collections::HashMap::new();
    let mut streams = collections::HashMap::new();
    for line in io::BufReader::new(fs::File::open(path)?).lines() {
        let line = line?;
        if line.contains(" request ended ") {
            let fields = parse_fields(&line);
            requests.insert(text(&fields, "request").to_owned(), fields);
        } else if line.contains(" stream ended ") {
            let fields = parse_fields(&line);
            streams.insert(text(&fields, "request").to_owned(), fields);
        }
    }
    let mut routes = collections::BTreeMap::<String, RouteTotals>::new();
    for (id, request) in &requests {
        let route = text(request, "route").to_owned();
        count(routes.entry(route).or_default(), request, streams.get(id));
    }
    print(&routes);
    Ok(())
}

fn count(totals: &mut RouteTotals, request: &Fields, stream: Option<&Fields>) {
    totals.objective_ms = number(request, "objective_ms");
    totals.gap_ms = number(request, "gap_ms");
    let status = text(request, "status");
    if status != "200" {
        let reason = text(request, "reason");
        // Names of teams and times would split one reason into many.
        let reason: Vec<_> = reason.split_whitespace().take(6).collect();
        let key = format!("{status} {}", reason.join(" "));
        *totals.refusals.entry(key).or_default() += 1;
        return;
    }
    let Some(stream) = stream else {
        return;
    };
    totals.begun += 1;
    let first_ms = number(stream, "first_event_ms");
    if text(stream, "reason") != "complete" {
        totals.unfinished += 1;
    } else if first_ms > totals.objective_ms {
        let waited_ms = number(request, "waited_ms");
        if waited_ms * 2 > first_ms {
            totals.late_waiting += 1;
        } else {
            totals.late_at_server += 1;
        }
    } else if totals.gap_ms > 0 && number(stream, "longest_pause_ms") > totals.gap_ms {
        totals.late_pause += 1;
    } else {
        totals.fine += 1;
    }
}

fn print(routes: &collections::BTreeMap<String, RouteTotals>) {
    println!(
        "| route | objective ms | pause ms | streams begun | fine | first event late after waiting | first event late at the server | pause too long | unfinished |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for (route, totals) in routes.iter().filter(|(_, totals)| totals.begun > 0) {
        println!(
            "| {route} | {} | {} | {} | {} | {} | {} | {} | {} |",
            totals.objective_ms,
            totals.gap_ms,
            totals.begun,
            totals.fine,
            totals.late_waiting,
            totals.late_at_server,
            totals.late_pause,
            totals.unfinished,
        );
    }
    println!();
    println!("| route | refusal | requests |");
    println!("|---|---|---|");
    for (route, totals) in routes {
        for (refusal, requests) in totals
            .refusals
            .iter()
            .filter(|(_, requests)| **requests > 4)
        {
            println!("| {route} | {refusal} | {requests} |");
        }
    }
}

fn parse_fields(line: &str) -> Fields {
    let mut fields = Fields::new();
    let mut rest = line;
    while let Some((before, after)) = rest.split_once('=') {
        let key = before.rsplit(' ').next().unwrap_or_default().to_owned();
        let (value, remaining) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.insert(key, value.to_owned());
        rest = remaining;
    }
    fields
}

fn text<'a>(fields: &'a Fields, key: &str) -> &'a str {
    fields.get(key).map_or("", String::as_str)
}

fn number(fields: &Fields, key: &str) -> u64 {
    text(fields, key).parse().unwrap_or(0)
}
