package main

// The production policies register themselves.
import _ "snipegw/internal/planner"
