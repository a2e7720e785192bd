# Teams, queues and failure domains of Oduya; sourced by scripts/run-example.sh.
operator team -operation t1 -share 2 put planners
operator team -operation t2 -share 1 put installers
operator queue -operation q1 -team planners put quotes
operator queue -operation q2 -team installers put rosters
for d in ikeja lekki apapa; do operator domain -operation "d-$d" -notice 5s "$d" in; done
domains=ikeja,lekki,apapa
first_team=planners first_queue=quotes
second_team=installers second_queue=rosters
