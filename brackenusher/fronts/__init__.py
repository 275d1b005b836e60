"""What clients speak: each front is a machine fed bytes and a thin driver round it."""
