"""Fair sharing of engine slots among trainers and tenants whose batches run on different nodes."""
