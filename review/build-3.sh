#!/bin/sh
# Builds the program that plays the scripts of the third review, with its stand-ins, into target/.
cd "$(dirname "$0")/lab3" && GOFLAGS=-mod=mod GOTOOLCHAIN=local exec go build -o ../../target/review-3/lab3 .
