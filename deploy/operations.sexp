; Optional features, read by: serve --config FILE --operations deploy/operations.sexp
; Without this file, drains are disabled, and supported levels are published with the period below.

; Each controller publishes in the state service which schema levels its build supports. The record expires this many
; seconds after the process ends. The schema level is raised automatically when all controllers support a higher one;
; with (automatic-level off), only `pearscale upgrade finalise` raises it.
(announce-support-s 60)

; Enables drains, once the schema level is 1 or higher. The disruption budget below applies to each team without a
; separate budget. Examples of a further budget and of a maintenance window:
;   (budget amanzi-pay imali-gate least-up 3)
;   (window night America/Costa_Rica mon,tue,wed,thu 22:00 04:00)
(drains on)
(budget * * most-down 1)
