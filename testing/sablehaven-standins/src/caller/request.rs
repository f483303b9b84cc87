//! Makes requests that differ from all others of the run.

use prost_reflect::{DynamicMessage, FieldDescriptor, Kind, MessageDescriptor, Value};

/// Messages nested deeper than this are left out.
const MAXIMUM_DEPTH: u32 = 3;

/// Makes requests of a method's message; each is unique by its texts, 64-bit and floating numbers.
///
/// 32-bit numbers and enumerations are left at their defaults, since they tend to be limits and
/// filters; lists and maps are left empty.
#[derive(Clone, Debug)]
pub struct RequestMaker {
    run: String,
}

impl RequestMaker {
    /// Requests of one run; `run` sets them apart from those of others.
    pub fn new(run: &str) -> Self {
        Self {
            run: run.to_owned(),
        }
    }

    /// The request with this number.
    pub fn make(&self, input: &MessageDescriptor, number: u64) -> DynamicMessage {
        self.message(input, number, 0)
    }

    fn message(&self, descriptor: &MessageDescriptor, number: u64, depth: u32) -> DynamicMessage {
        let mut message = DynamicMessage::new(descriptor.clone());
        for field in descriptor.fields() {
            if let Some(value) = self.value(&field, number, depth) {
                message.set_field(&field, value);
            }
        }
        message
    }

    fn value(&self, field: &FieldDescriptor, number: u64, depth: u32) -> Option<Value> {
        if field.is_list() || field.is_map() {
            return None;
        }
        match field.kind() {
            Kind::String => Some(Value::String(format!(
                "{}-{}-{number}",
                field.name(),
                self.run
            ))),
            Kind::Uint64 | Kind::Fixed64 => Some(Value::U64(number)),
            Kind::Int64 | Kind::Sint64 | Kind::Sfixed64 => Some(Value::I64(number as i64)),
            Kind::Double => Some(Value::F64(number as f64)),
            Kind::Message(descriptor) if depth < MAXIMUM_DEPTH => {
                Some(Value::Message(self.message(&descriptor, number, depth + 1)))
            }
            _ => None,
        }
    }
}
