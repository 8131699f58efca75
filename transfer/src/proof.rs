//! What proves a state: the hash of each chunk, and one hash over those, the length and the chunk size. A
//! chunk is proven by itself, before the rest is there.

use bytes::Bytes;

/// The hash of one chunk.
pub type ChunkHash = [u8; 32];

/// The smallest chunk size.
pub const MIN_CHUNK_BYTES: u32 = 1 << 12;
/// The largest chunk size.
pub const MAX_CHUNK_BYTES: u32 = 1 << 20;
/// The most chunks of a state.
pub const MAX_CHUNKS: u32 = 1 << 16;

/// Names the use of the hash, so that no other hash of the same bytes passes for a root.
const ROOT_HASH_CONTEXT: &str = "frosttrail transfer 1 root of a state";

/// Why a description of a state is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// No bytes.
    #[error("a state holds at least one byte")]
    Empty,
    /// The chunk size is out of bounds.
    #[error("a chunk size is a power of two from {MIN_CHUNK_BYTES} to {MAX_CHUNK_BYTES}")]
    ChunkSize,
    /// Too many chunks.
    #[error("a state has at most {MAX_CHUNKS} chunks")]
    TooManyChunks,
}

/// How a state is cut up. Chunk sizes and counts are bounded once one exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkLayout {
    length: u64,
    chunk_bytes: u32,
}

impl ChunkLayout {
    /// Checks the bounds.
    pub fn new(length: u64, chunk_bytes: u32) -> Result<Self, LayoutError> {
        if length == 0 {
            return Err(LayoutError::Empty);
        }
        if !chunk_bytes.is_power_of_two() || !(MIN_CHUNK_BYTES..=MAX_CHUNK_BYTES).contains(&chunk_bytes) {
            return Err(LayoutError::ChunkSize);
        }
        if length.div_ceil(u64::from(chunk_bytes)) > u64::from(MAX_CHUNKS) {
            return Err(LayoutError::TooManyChunks);
        }
        Ok(ChunkLayout { length, chunk_bytes })
    }

    /// Bytes in all.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Bytes of each chunk but the last.
    pub fn chunk_bytes(&self) -> u32 {
        self.chunk_bytes
    }

    /// How many chunks.
    pub fn chunk_count(&self) -> u32 {
        self.length.div_ceil(u64::from(self.chunk_bytes)) as u32
    }

    /// Bytes of one chunk; 0 past the last.
    pub fn chunk_length(&self, index: u32) -> u32 {
        let start = u64::from(index) * u64::from(self.chunk_bytes);
        self.length.saturating_sub(start).min(u64::from(self.chunk_bytes)) as u32
    }
}

/// The hashes that prove a state of a layout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proof {
    layout: ChunkLayout,
    root: ChunkHash,
    chunk_hashes: Bytes,
}

impl Proof {
    /// Hashes a state.
    pub fn compute(cache: &Bytes, chunk_bytes: u32) -> Result<Self, LayoutError> {
        let layout = ChunkLayout::new(cache.len() as u64, chunk_bytes)?;
        let chunk_hashes: Vec<u8> = cache.chunks(chunk_bytes as usize).flat_map(hash_chunk).collect();
        Ok(Proof { layout, root: hash_root(layout, &chunk_hashes), chunk_hashes: chunk_hashes.into() })
    }

    /// Takes what the wire brought; `None` if the parts do not belong together.
    pub fn from_parts(layout: ChunkLayout, claimed: ChunkHash, chunk_hashes: Bytes) -> Option<Self> {
        let is_complete = chunk_hashes.len() == layout.chunk_count() as usize * claimed.len();
        (is_complete && hash_root(layout, &chunk_hashes) == claimed).then_some(Proof {
            layout,
            root: claimed,
            chunk_hashes,
        })
    }

    /// How the state is cut up.
    pub fn layout(&self) -> ChunkLayout {
        self.layout
    }

    /// The hash of the whole.
    pub fn root(&self) -> &ChunkHash {
        &self.root
    }

    /// All chunks' hashes, one behind another.
    pub fn chunk_hashes(&self) -> &Bytes {
        &self.chunk_hashes
    }

    /// Whether these bytes are that chunk.
    pub fn verifies(&self, index: u32, data: &[u8]) -> bool {
        let start = index as usize * 32;
        data.len() == self.layout.chunk_length(index) as usize
            && self.chunk_hashes.get(start..start + 32).is_some_and(|hash| hash == hash_chunk(data))
    }
}

fn hash_chunk(data: &[u8]) -> ChunkHash {
    *blake3::hash(data).as_bytes()
}

fn hash_root(layout: ChunkLayout, chunk_hashes: &[u8]) -> ChunkHash {
    let mut hasher = blake3::Hasher::new_derive_key(ROOT_HASH_CONTEXT);
    hasher
        .update(&layout.length.to_be_bytes())
        .update(&layout.chunk_bytes.to_be_bytes())
        .update(chunk_hashes);
    *hasher.finalize().as_bytes()
}
