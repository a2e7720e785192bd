# Teams, queues and failure domains of the library; sourced by scripts/run-example.sh.
operator team -operation t1 -share 3 put lomos
operator team -operation t2 -share 1 put canelones
operator queue -operation q1 -team lomos put labels
operator queue -operation q2 -team canelones put rebuilds
for d in cordon prado pocitos; do operator domain -operation "d-$d" -notice 5s "$d" in; done
domains=cordon,prado,pocitos
first_team=lomos first_queue=labels
second_team=canelones second_queue=rebuilds
