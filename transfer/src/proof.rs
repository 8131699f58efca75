//! Hashes that verify a KV cache: one for each chunk, and a root hash over the chunk hashes, the length and
//! the chunk size. Each chunk is verified on its own, before the others have arrived.

use bytes::Bytes;

/// A BLAKE3 hash.
pub type Digest = [u8; 32];

/// Smallest chunk size, in bytes.
pub const MIN_CHUNK_BYTES: u32 = 1 << 12;
/// Largest chunk size, in bytes.
pub const MAX_CHUNK_BYTES: u32 = 1 << 20;
/// Maximum number of chunks of a KV cache.
pub const MAX_CHUNKS: u32 = 1 << 16;

/// Key derivation context of the root hash; it keeps any other hash of the same bytes from passing for a
/// root.
const ROOT_HASH_CONTEXT: &str = "frosttrail transfer 1 root of a state";

/// Why a length and a chunk size do not form a valid layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LayoutError {
    /// The KV cache is empty.
    #[error("a KV cache has at least one byte")]
    Empty,
    /// The chunk size is out of bounds.
    #[error("the chunk size must be a power of two from {MIN_CHUNK_BYTES} to {MAX_CHUNK_BYTES} bytes")]
    ChunkSize,
    /// The KV cache has too many chunks.
    #[error("a KV cache has at most {MAX_CHUNKS} chunks; use a larger chunk size")]
    TooManyChunks,
}

/// How a KV cache is divided into chunks. A value of this type is always within the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkLayout {
    length: u64,
    chunk_bytes: u32,
}

impl ChunkLayout {
    /// Validates the length and the chunk size, both in bytes.
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

    /// Total length in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Size of each chunk but the last, in bytes.
    pub fn chunk_bytes(&self) -> u32 {
        self.chunk_bytes
    }

    /// Number of chunks.
    pub fn chunk_count(&self) -> u32 {
        self.length.div_ceil(u64::from(self.chunk_bytes)) as u32
    }

    /// Size of one chunk in bytes; 0 past the last one.
    pub fn chunk_length(&self, index: u32) -> u32 {
        let start = u64::from(index) * u64::from(self.chunk_bytes);
        self.length.saturating_sub(start).min(u64::from(self.chunk_bytes)) as u32
    }
}

/// The hashes that verify a KV cache of a given layout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proof {
    layout: ChunkLayout,
    root: Digest,
    chunk_hashes: Bytes,
}

impl Proof {
    /// Hashes a KV cache.
    pub fn compute(cache: &Bytes, chunk_bytes: u32) -> Result<Self, LayoutError> {
        let layout = ChunkLayout::new(cache.len() as u64, chunk_bytes)?;
        let chunk_hashes: Vec<u8> = cache.chunks(chunk_bytes as usize).flat_map(hash_chunk).collect();
        Ok(Proof { layout, root: hash_root(layout, &chunk_hashes), chunk_hashes: chunk_hashes.into() })
    }

    /// Builds a proof from received parts; `None` if the root hash does not match them.
    pub fn from_parts(layout: ChunkLayout, claimed: Digest, chunk_hashes: Bytes) -> Option<Self> {
        let is_complete = chunk_hashes.len() == layout.chunk_count() as usize * claimed.len();
        (is_complete && hash_root(layout, &chunk_hashes) == claimed).then_some(Proof {
            layout,
            root: claimed,
            chunk_hashes,
        })
    }

    /// The layout of the KV cache.
    pub fn layout(&self) -> ChunkLayout {
        self.layout
    }

    /// The root hash.
    pub fn root(&self) -> &Digest {
        &self.root
    }

    /// The concatenated chunk hashes.
    pub fn chunk_hashes(&self) -> &Bytes {
        &self.chunk_hashes
    }

    /// Whether `data` is the chunk at `index`.
    pub fn verifies(&self, index: u32, data: &[u8]) -> bool {
        let start = index as usize * 32;
        data.len() == self.layout.chunk_length(index) as usize
            && self.chunk_hashes.get(start..start + 32).is_some_and(|hash| hash == hash_chunk(data))
    }
}

fn hash_chunk(data: &[u8]) -> Digest {
    *blake3::hash(data).as_bytes()
}

fn hash_root(layout: ChunkLayout, chunk_hashes: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new_derive_key(ROOT_HASH_CONTEXT);
    hasher
        .update(&layout.length.to_be_bytes())
        .update(&layout.chunk_bytes.to_be_bytes())
        .update(chunk_hashes);
    *hasher.finalize().as_bytes()
}
