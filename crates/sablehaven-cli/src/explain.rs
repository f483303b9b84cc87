//! Explains the outcome of one request from the logs of several processes.

use serde_json::{Map, Value};

/// One structured log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Name of the process, taken from the file name or from the text before the record.
    pub process: String,
    /// Time at which the line was written, as RFC 3339 text.
    pub timestamp: String,
    /// Name of the event.
    pub event: String,
    /// Fields of the event, including its name under the key `event`.
    pub fields: Map<String, Value>,
}

/// What the logs contain about a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// Log lines that name the request, in order of time.
    pub lines: Vec<LogLine>,
    /// State of the process that logged the first of these lines, at the time of that line: its last
    /// line of each event that describes its state, and the last one that quarantined the request, in
    /// order of time.
    pub process_state: Vec<LogLine>,
    /// One sentence for each line in `lines` that explains the outcome.
    pub summaries: Vec<String>,
}

/// Events that describe the state on which the decisions of a process depend.
const STATE_EVENTS: [&str; 6] = [
    "routes_in_force",
    "listing_in_force",
    "control_connected",
    "control_lost",
    "start",
    "stop",
];

/// Parses the lines of one log. Lines that are not structured records are skipped.
pub fn parse_log(process: &str, text: &str) -> Vec<LogLine> {
    text.lines()
        .filter_map(|line| parse_line(process, line))
        .collect()
}

/// Parses one line. If there is text before the record, its last word is the name of the process, as
/// written by tools that merge several logs into one.
fn parse_line(process: &str, line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let record: Value = serde_json::from_str(&line[start..]).ok()?;
    let fields = record.get("kvs")?.as_object()?.clone();
    let prefix = line[..start].split_whitespace().last();
    Some(LogLine {
        process: prefix.unwrap_or(process).to_owned(),
        timestamp: record.get("timestamp")?.as_str()?.to_owned(),
        event: fields.get("event")?.as_str()?.to_owned(),
        fields,
    })
}

/// Explains the outcome of a request from the lines of any number of logs.
pub fn explain(request_id: &str, mut all_lines: Vec<LogLine>) -> Explanation {
    all_lines.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    let names_request =
        |line: &&LogLine| line.fields.get("request").and_then(Value::as_str) == Some(request_id);
    let lines: Vec<LogLine> = all_lines.iter().filter(names_request).cloned().collect();
    let process_state = lines
        .first()
        .map(|first| process_state_at(first, &all_lines))
        .unwrap_or_default();
    let summaries = lines.iter().map(summarize).collect();
    Explanation {
        lines,
        process_state,
        summaries,
    }
}

/// Returns, for each state event, the last line that the process of `line` logged up to the time of
/// `line`, and likewise for the quarantine of the request.
fn process_state_at(line: &LogLine, all_lines: &[LogLine]) -> Vec<LogLine> {
    let is_earlier =
        |other: &&LogLine| other.process == line.process && other.timestamp <= line.timestamp;
    let latest = |event: &&str| {
        let mut with_event = all_lines
            .iter()
            .filter(is_earlier)
            .filter(|other| other.event == **event);
        with_event.next_back().cloned()
    };
    let mut state: Vec<LogLine> = STATE_EVENTS.iter().filter_map(latest).collect();
    state.extend(quarantine_at(line, all_lines));
    state.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    state
}

/// Returns the last line up to the time of `line` with which the same process put the request into
/// quarantine.
fn quarantine_at(line: &LogLine, all_lines: &[LogLine]) -> Option<LogLine> {
    let target = line.fields.get("target")?;
    let mut quarantines = all_lines.iter().filter(|other| {
        other.event == "request_quarantined"
            && other.process == line.process
            && other.timestamp <= line.timestamp
            && other.fields.get("target") == Some(target)
    });
    quarantines.next_back().cloned()
}

/// Describes one log line of a request in a sentence.
fn summarize(line: &LogLine) -> String {
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
    let elapsed_ms = number("after_ms");
    let arrived = format!("{} of {} shards", number("arrived"), number("shards"));
    let attempts = match (number("extra"), number("unaffordable")) {
        (0, 0) => "no extra attempt was needed".to_owned(),
        (sent, 0) => format!("{sent} extra attempts were sent"),
        (sent, unaffordable) => {
            format!("{sent} extra attempts were sent, {unaffordable} exceeded the retry budget")
        }
    };
    let missing = match (text("missing"), text("awaited")) {
        ("", "") => "no shard was pending".to_owned(),
        (missing, "") => format!("missing: {missing}"),
        ("", awaited) => format!("still pending: {awaited}"),
        (missing, awaited) => format!("missing: {missing}; still pending: {awaited}"),
    };
    let lost_connections = match text("lost") {
        "" => String::new(),
        lost => format!("; connections to these servers were lost during the request: {lost}"),
    };
    match line.event.as_str() {
        "refused" if line.fields.contains_key("target") => format!(
            "{process} refused the request immediately: {}; it may be retried in {} s",
            text("reason"),
            number("left_ms") / 1_000
        ),
        "refused" => format!(
            "{process} refused the request immediately: {} ({} open)",
            text("reason"),
            number("open")
        ),
        "partial" => {
            format!(
                "{process} sent a partial response after {elapsed_ms} ms with {arrived}; {attempts}; {missing}"
            )
        }
        "late" => format!(
            "{process} sent a complete response after {elapsed_ms} ms, later than the latency target; {attempts}"
        ),
        "failed" if line.fields.contains_key("shards") => {
            format!(
                "{process} failed the request after {elapsed_ms} ms with {arrived}; {attempts}; {missing}{lost_connections}"
            )
        }
        "failed" => format!(
            "{process} failed the request after {elapsed_ms} ms with status {}: {}{lost_connections}",
            number("status"),
            text("reason")
        ),
        other => format!("{process}: {other}"),
    }
}
