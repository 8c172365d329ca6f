"""HTTP by both programs: listeners, exchanges with callers, clients."""
