//! Chat completion requests and the answers derived from their content.

use catkin_base::{hash_parts, value_type};
use serde::Deserialize;

/// Bytes of content that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Number of tokens of an answer if the request does not limit them.
const DEFAULT_TOKENS: u32 = 16;

value_type! {
    /// One message of a chat.
    #[derive(Deserialize)]
    pub struct ChatMessage {
        /// Role of the author.
        pub role: String,
        /// Text of the message.
        pub content: String,
    }
}

value_type! {
    /// Body of a chat completion call.
    #[derive(Deserialize)]
    pub struct ChatBody {
        /// Name of the model.
        pub model: String,
        /// Messages of the chat, oldest first.
        pub messages: Vec<ChatMessage>,
        /// Whether the answer is streamed.
        #[serde(default)]
        pub stream: bool,
        /// Maximum number of tokens of the answer.
        #[serde(default)]
        pub max_tokens: Option<u32>,
    }
}

impl ChatBody {
    /// Returns the content of the last message.
    pub fn last_content(&self) -> &str {
        self.messages.last().map_or("", |message| message.content.as_str())
    }

    /// Returns the number of tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        let bytes: usize = self.messages.iter().map(|message| message.content.len()).sum();
        bytes.div_ceil(BYTES_PER_TOKEN) as u32
    }

    /// Returns the number of tokens of the answer.
    pub fn answer_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Returns whether any message contains `marker`.
    pub fn contains(&self, marker: &str) -> bool {
        self.messages.iter().any(|message| message.content.contains(marker))
    }
}

/// Builds token `index` of the answer to a chat whose last message is `content`.
pub fn build_answer_token(content: &str, index: u32) -> String {
    let hash = hash_parts(&[content.as_bytes(), &index.to_le_bytes()]);
    format!("{hash:016x} ")
}

/// Builds the complete answer to a chat whose last message is `content`.
pub fn build_answer_text(content: &str, tokens: u32) -> String {
    (0..tokens).map(|index| build_answer_token(content, index)).collect()
}
