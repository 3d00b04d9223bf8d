"""RecordVersion configuration records kept in the platform's log."""
