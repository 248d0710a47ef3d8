"""What is agreed through the platform's log: records, folds over them, and the log's clients."""
