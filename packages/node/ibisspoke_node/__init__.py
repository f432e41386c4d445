"""The ibisspoke node process, which runs on each upstream VM."""
