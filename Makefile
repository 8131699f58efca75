# The common tasks of this repository. CI runs the same commands (.ci/run); it runs the tests with .ci/test, which
# reads KNOWN-RED.txt.

.PHONY: build test lint run chat regress soak

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# `run` and `chat` need EDGE_CONFIG to name a conductor's configuration; see README.md.
run: build
	exec target/release/frosttrail

chat: build
	exec target/release/frosttrail --chat deploy/chat.toml

# Runs real conductors under overlapping faults for eight seeds, then exits (see frosttrail-soak --help).
soak: build
	target/release/frosttrail-soak --seeds 8

# Runs the bench's panels one after another (see .ci/regress). Needs the kit, which CI does not have.
regress:
	.ci/regress
