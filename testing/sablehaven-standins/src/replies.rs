//! Synthesised replies: deterministic in request, shard and snapshot, so that every replica of a
//! shard gives the same one, and marked so that a checker sees where each item came from.

use prost::Message;
use prost_reflect::{DynamicMessage, FieldDescriptor, Kind, MessageDescriptor, Value};
use sablehaven_history::Mark;
use sablehaven_schema::{MethodKind, MethodSchema, merge};
use sablehaven_types::{ShardId, SnapshotId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Messages nested deeper than this are left empty.
const MAXIMUM_DEPTH: u32 = 4;

/// Numbers in replies lie below this.
const NUMBER_RANGE: u64 = 1_000;

/// What a reply depends on.
#[derive(Clone, Copy, Debug)]
pub struct ReplyContext {
    /// The shard that answers.
    pub shard: ShardId,
    /// The snapshot that answers.
    pub snapshot: SnapshotId,
    /// Fingerprint of the request, from [`question`].
    pub question: u64,
    /// Elements of each repeated field.
    pub items: u32,
    /// The number of the execution, for methods that may not be repeated.
    pub run: Option<u64>,
}

/// Fingerprint of a request: a hash of its protobuf encoding, whose fields stand in the order of
/// their numbers.
pub fn question(request: &DynamicMessage) -> u64 {
    xxh3_64(&request.encode_to_vec())
}

/// Synthesises the reply to a request.
pub fn synthesise(
    output: &MessageDescriptor,
    request: &DynamicMessage,
    context: ReplyContext,
) -> DynamicMessage {
    let mut synthesis = Synthesis {
        request,
        context,
        next_item: 0,
        unmarked: None,
    };
    synthesis.reply(output)
}

/// All marks in the texts of a JSON body, in the order of the body; texts without one are skipped.
pub fn marks(body: &serde_json::Value) -> Vec<Mark> {
    let mut found = Vec::new();
    collect_marks(body, &mut found);
    found
}

fn collect_marks(value: &serde_json::Value, found: &mut Vec<Mark>) {
    match value {
        serde_json::Value::String(text) => found.extend(Mark::find(text).and_then(Result::ok)),
        serde_json::Value::Array(values) => {
            values.iter().for_each(|value| collect_marks(value, found));
        }
        serde_json::Value::Object(fields) => {
            fields
                .values()
                .for_each(|value| collect_marks(value, found));
        }
        _ => {}
    }
}

struct Synthesis<'a> {
    request: &'a DynamicMessage,
    context: ReplyContext,
    next_item: u32,
    /// The item that is being filled and has no mark yet; only its first text gets one.
    unmarked: Option<u32>,
}

impl Synthesis<'_> {
    fn reply(&mut self, output: &MessageDescriptor) -> DynamicMessage {
        let has_items = output.fields().any(|field| is_repeated_message(&field));
        if !has_items {
            return self.item(output, 0);
        }
        let mut reply = DynamicMessage::new(output.clone());
        for field in output.fields() {
            if let Some(value) = self.field(&field, 0) {
                reply.set_field(&field, value);
            }
        }
        reply
    }

    fn item(&mut self, descriptor: &MessageDescriptor, depth: u32) -> DynamicMessage {
        self.unmarked = Some(self.next_item);
        self.next_item += 1;
        let item = self.message(descriptor, depth);
        self.unmarked = None;
        item
    }

    fn message(&mut self, descriptor: &MessageDescriptor, depth: u32) -> DynamicMessage {
        let mut message = DynamicMessage::new(descriptor.clone());
        if depth >= MAXIMUM_DEPTH {
            return message;
        }
        for field in descriptor.fields() {
            if let Some(value) = self.field(&field, depth) {
                message.set_field(&field, value);
            }
        }
        message
    }

    fn field(&mut self, field: &FieldDescriptor, depth: u32) -> Option<Value> {
        if field.is_map() {
            return None;
        }
        if !field.is_list() {
            return Some(self.value(field, 0, depth));
        }
        let values = (0..self.context.items).map(|index| match field.kind() {
            Kind::Message(descriptor) if depth == 0 => {
                Value::Message(self.item(&descriptor, depth + 1))
            }
            _ => self.value(field, index, depth),
        });
        Some(Value::List(values.collect()))
    }

    fn value(&mut self, field: &FieldDescriptor, index: u32, depth: u32) -> Value {
        let number = self.number(field, index);
        match field.kind() {
            Kind::Message(descriptor) => Value::Message(self.message(&descriptor, depth + 1)),
            Kind::String => Value::String(self.text(field)),
            Kind::Bytes => Value::Bytes(number.to_be_bytes().to_vec().into()),
            Kind::Bool => Value::Bool(number.is_multiple_of(2)),
            Kind::Enum(descriptor) => {
                let values: Vec<i32> = descriptor.values().map(|value| value.number()).collect();
                Value::EnumNumber(values[number as usize % values.len()])
            }
            Kind::Double => Value::F64(number as f64),
            Kind::Float => Value::F32(number as f32),
            Kind::Int32 | Kind::Sint32 | Kind::Sfixed32 => Value::I32(number as i32),
            Kind::Int64 | Kind::Sint64 | Kind::Sfixed64 => Value::I64(number as i64),
            Kind::Uint32 | Kind::Fixed32 => Value::U32(number as u32),
            Kind::Uint64 | Kind::Fixed64 => Value::U64(number),
        }
    }

    /// The request's text of the same name, or the field's name; with the item's mark if it is due.
    fn text(&mut self, field: &FieldDescriptor) -> String {
        let asked = self.request.get_field_by_name(field.name());
        let word = match asked.as_deref() {
            Some(Value::String(text)) if !text.is_empty() => text.clone(),
            _ => field.name().to_owned(),
        };
        match self.unmarked.take() {
            Some(item) => format!("{word}{}", self.mark(item)),
            None => word,
        }
    }

    fn mark(&self, item: u32) -> Mark {
        Mark {
            shard: self.context.shard,
            snapshot: self.context.snapshot,
            question: self.context.question,
            item,
            run: self.context.run,
        }
    }

    fn number(&self, field: &FieldDescriptor, index: u32) -> u64 {
        let SnapshotId {
            generation,
            partition_map,
        } = self.context.snapshot;
        let parts = [
            u64::from(self.context.shard.0),
            generation,
            partition_map,
            u64::from(self.next_item),
            u64::from(field.number()),
            u64::from(index),
        ];
        let mut bytes = Vec::with_capacity(parts.len() * size_of::<u64>());
        for part in parts {
            bytes.extend_from_slice(&part.to_be_bytes());
        }
        xxh3_64_with_seed(&bytes, self.context.question) % NUMBER_RANGE
    }
}

fn is_repeated_message(field: &FieldDescriptor) -> bool {
    field.is_list() && !field.is_map() && matches!(field.kind(), Kind::Message(_))
}

/// The answer that a caller should get: the merge of the replies of these shards, or the one reply
/// of a method that asks one shard. `None` where the replies cannot be merged.
pub fn expected_answer(
    method: &MethodSchema,
    request: &DynamicMessage,
    shards: &[ShardId],
    context: ReplyContext,
) -> Option<DynamicMessage> {
    let reply =
        |shard: ShardId| synthesise(&method.output, request, ReplyContext { shard, ..context });
    if !matches!(method.kind, MethodKind::Query { .. }) {
        return shards.first().map(|shard| reply(*shard));
    }
    let replies = shards.iter().map(|shard| (*shard, reply(*shard)));
    merge(method, replies.collect(), request).ok()
}
