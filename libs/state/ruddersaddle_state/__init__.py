"""State agreed on through the platform's log: records, folds over them, and clients of the log."""
