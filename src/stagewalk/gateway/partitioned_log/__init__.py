"""Clients of the partitioned log: followers of partitions and exactly-once appends."""
