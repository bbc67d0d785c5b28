"""Stand-ins and checks of the scripts in review/6 to review/10."""
