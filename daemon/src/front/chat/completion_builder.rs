//! Collects a stream of events into the single completion object for a client that does not stream.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use serde_json::{json, Map, Value};

use super::error::ApiError;
use super::sse::{event_data, is_done_event};

#[derive(Deserialize)]
struct Chunk {
    id: Option<String>,
    created: Option<u64>,
    model: Option<String>,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    usage: Option<Value>,
    error: Option<Value>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    delta: Map<String, Value>,
    finish_reason: Option<String>,
}

#[derive(Default)]
struct CompletionChoice {
    message: Map<String, Value>,
    finish_reason: Option<String>,
}

/// The completion, as far as its events have arrived.
pub(super) struct CompletionBuilder {
    id: String,
    created: u64,
    model: String,
    choices: BTreeMap<u64, CompletionChoice>,
    usage: Option<Value>,
    is_done: bool,
}

impl CompletionBuilder {
    /// Creates an empty completion; `id` and `model` apply where the server's events name none.
    pub(super) fn new(id: String, model: String) -> Self {
        let created = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        CompletionBuilder { id, created, model, choices: BTreeMap::new(), usage: None, is_done: false }
    }

    /// Returns the completion as JSON, or an error if the final event is missing.
    pub(super) fn finish(self) -> Result<String, ApiError> {
        if !self.is_done {
            return Err(ApiError::ServerFailed);
        }
        let choice = |(index, choice): (u64, CompletionChoice)| {
            let mut message = choice.message;
            message.entry("role").or_insert_with(|| json!("assistant"));
            message.entry("content").or_insert(Value::Null);
            let finish = choice.finish_reason;
            json!({"index": index, "message": message, "logprobs": null, "finish_reason": finish})
        };
        let choices: Vec<Value> = self.choices.into_iter().map(choice).collect();
        Ok(json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": choices,
            "usage": self.usage,
        })
        .to_string())
    }

    /// Adds the next event.
    pub(super) fn push_event(&mut self, event: &[u8]) -> Result<(), ApiError> {
        let data = event_data(event);
        if data.is_empty() {
            return Ok(());
        }
        if is_done_event(&data) {
            self.is_done = true;
            return Ok(());
        }
        let chunk: Chunk = serde_json::from_slice(&data).map_err(|_| ApiError::ServerFailed)?;
        if chunk.error.is_some() {
            return Err(ApiError::ServerFailed);
        }
        self.id = chunk.id.unwrap_or(std::mem::take(&mut self.id));
        self.created = chunk.created.unwrap_or(self.created);
        self.model = chunk.model.unwrap_or(std::mem::take(&mut self.model));
        self.usage = chunk.usage.or(self.usage.take());
        for choice_delta in chunk.choices {
            let choice = self.choices.entry(choice_delta.index).or_default();
            merge(&mut choice.message, choice_delta.delta);
            choice.finish_reason = choice_delta.finish_reason.or(choice.finish_reason.take());
        }
        Ok(())
    }
}

/// Merges a delta into a message: appends to texts, merges lists by the `index` of their items, and replaces
/// all other values.
fn merge(message: &mut Map<String, Value>, delta: Map<String, Value>) {
    for (key, value) in delta {
        match (message.get_mut(&key), value) {
            (_, Value::Null) => {}
            (Some(Value::String(text)), Value::String(more)) if !is_replaced_whole(&key) => {
                text.push_str(&more)
            }
            (Some(Value::Object(object)), Value::Object(more)) => merge(object, more),
            (Some(Value::Array(items)), Value::Array(more)) => merge_items(items, more),
            (_, Value::Array(more)) => {
                let mut items = Vec::new();
                merge_items(&mut items, more);
                message.insert(key, Value::Array(items));
            }
            (_, value) => {
                message.insert(key, value);
            }
        }
    }
}

/// Whether a text is replaced instead of appended to: names are sent in full each time.
fn is_replaced_whole(key: &str) -> bool {
    matches!(key, "role" | "id" | "type")
}

/// Merges list items by their `index`; items without one are appended.
fn merge_items(items: &mut Vec<Value>, more: Vec<Value>) {
    for item in more {
        let Value::Object(mut object) = item else {
            items.push(item);
            continue;
        };
        let position = object
            .remove("index")
            .and_then(|position| position.as_u64())
            .map_or(items.len(), |position| position as usize);
        match items.get_mut(position) {
            Some(Value::Object(known)) => merge(known, object),
            _ => items.push(Value::Object(object)),
        }
    }
}
