//! Stand-ins and checks of the scripted cases. `case NAME RECORD` exits with 1 if the rule of the case was broken, 0
//! if it held, and 2 if the case could not run.

mod fleet;
mod refused;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("case NAME RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = fleet::Record::create(path);
    record.say(&format!("case {name}, trouble {trouble}"));
    let outcome = match name.as_str() {
        "refused" => refused::run(&record, trouble),
        _ => 2,
    };
    record.say(&format!("exit {outcome}"));
    std::process::exit(outcome);
}
