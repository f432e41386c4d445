"""The process that runs on each upstream VM."""
