#!/bin/sh
# Plays the case with lab3 (review/build-3.sh builds it). TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec ../../target/review-3/lab3 attempts .
