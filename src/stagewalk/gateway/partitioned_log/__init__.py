"""Using a partitioned log: following partitions and appending to them exactly once."""
