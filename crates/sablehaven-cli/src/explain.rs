//! Collects what the logs of several processes say of one request, and says in words what decided.

use serde_json::{Map, Value};

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The process, as the file or the text before the record names it.
    pub process: String,
    /// When it was written.
    pub timestamp: String,
    /// The event's name.
    pub event: String,
    /// The event's fields.
    pub fields: Map<String, Value>,
}

/// What is known of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// The request's own lines, in order.
    pub lines: Vec<LogLine>,
    /// What the same processes believed then: the last line of each kind before the request's.
    pub beliefs: Vec<LogLine>,
    /// What decided, in words.
    pub verdicts: Vec<String>,
}

/// Events that change what a process believes.
const BELIEFS: [&str; 6] = [
    "routes_in_force",
    "listing_in_force",
    "control_connected",
    "control_lost",
    "start",
    "stop",
];

/// Reads the lines of one log; what is no record is passed over.
pub fn read_lines(process: &str, text: &str) -> Vec<LogLine> {
    text.lines()
        .filter_map(|line| read_line(process, line))
        .collect()
}

/// Text before the record names the process, as tools do that gather several logs into one.
fn read_line(process: &str, line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let record: Value = serde_json::from_str(&line[start..]).ok()?;
    let fields = record.get("kvs")?.as_object()?.clone();
    let before = line[..start].split_whitespace().last();
    Some(LogLine {
        process: before.unwrap_or(process).to_owned(),
        timestamp: record.get("timestamp")?.as_str()?.to_owned(),
        event: fields.get("event")?.as_str()?.to_owned(),
        fields,
    })
}

/// Explains a request from the lines of any number of logs.
pub fn explain(id: &str, mut all: Vec<LogLine>) -> Explanation {
    all.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    let is_own = |line: &&LogLine| line.fields.get("request").and_then(Value::as_str) == Some(id);
    let lines: Vec<LogLine> = all.iter().filter(is_own).cloned().collect();
    let beliefs = lines
        .first()
        .map(|first| beliefs_before(first, &all))
        .unwrap_or_default();
    let verdicts = lines.iter().map(verdict).collect();
    Explanation {
        lines,
        beliefs,
        verdicts,
    }
}

fn beliefs_before(first: &LogLine, all: &[LogLine]) -> Vec<LogLine> {
    let before =
        |line: &&LogLine| line.process == first.process && line.timestamp <= first.timestamp;
    let latest = |event: &&str| {
        let mut of_event = all
            .iter()
            .filter(before)
            .filter(|line| line.event == **event);
        of_event.next_back().cloned()
    };
    let mut beliefs: Vec<LogLine> = BELIEFS.iter().filter_map(latest).collect();
    beliefs.extend(quarantine_before(first, all));
    beliefs.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    beliefs
}

/// The line by which the same process began to keep the request from its servers.
fn quarantine_before(first: &LogLine, all: &[LogLine]) -> Option<LogLine> {
    let target = first.fields.get("target")?;
    let mut began = all.iter().filter(|line| {
        line.event == "request_quarantined"
            && line.process == first.process
            && line.timestamp <= first.timestamp
            && line.fields.get("target") == Some(target)
    });
    began.next_back().cloned()
}

/// What one line says, in words.
fn verdict(line: &LogLine) -> String {
    let number = |key: &str| {
        line.fields
            .get(key)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    };
    let text = |key: &str| {
        line.fields
            .get(key)
            .and_then(Value::as_str)
            .unwrap_or_default()
    };
    let process = &line.process;
    let after = number("after_ms");
    let parts = format!("{} of {} shards", number("arrived"), number("shards"));
    let extra = match (number("extra"), number("unaffordable")) {
        (0, 0) => "no second attempt was due".to_owned(),
        (sent, 0) => format!("{sent} second attempts were sent"),
        (sent, refused) => {
            format!("{sent} second attempts were sent, {refused} were beyond the budget")
        }
    };
    let missing = match (text("missing"), text("awaited")) {
        ("", "") => "nothing was awaited any more".to_owned(),
        (missing, "") => format!("missing: {missing}"),
        ("", awaited) => format!("still awaited: {awaited}"),
        (missing, awaited) => format!("missing: {missing}; still awaited: {awaited}"),
    };
    let lost = match text("lost") {
        "" => String::new(),
        lost => format!("; the connections to these servers ended under it: {lost}"),
    };
    match line.event.as_str() {
        "refused" if line.fields.contains_key("target") => format!(
            "{process} refused it at once: {}; it may be tried again in {} s",
            text("reason"),
            number("left_ms") / 1_000
        ),
        "refused" => format!(
            "{process} refused it at once: {} ({} open)",
            text("reason"),
            number("open")
        ),
        "partial" => {
            format!("{process} answered after {after} ms with {parts}; {extra}; {missing}")
        }
        "late" => format!("{process} answered whole but after its aim, after {after} ms; {extra}"),
        "failed" if line.fields.contains_key("shards") => {
            format!("{process} gave it up after {after} ms with {parts}; {extra}; {missing}{lost}")
        }
        "failed" => format!(
            "{process} gave it up after {after} ms with status {}: {}{lost}",
            number("status"),
            text("reason")
        ),
        other => format!("{process}: {other}"),
    }
}
