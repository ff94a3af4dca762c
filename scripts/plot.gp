# Figures of an experiment: bars of fairness gap and utilisation, and the
# utilisation of each run over time.
set terminal svg size 1000,720 font "sans,11"
set output folder."/".name.".svg"
set datafile separator ","
set style fill solid 0.7 border
set xtics noenhanced
set key noenhanced
set multiplot layout 2,2
set style data histogram
set boxwidth 0.8
set xtics rotate by -30
set grid ytics
set logscale y
set yrange [0.1:1000]
set title name.": fairness gap, % of mean service (log scale)" noenhanced
plot folder."/".name.".csv" skip 1 using (column(14) > 0.1 ? column(14) : 0.1):xtic(1) notitle linecolor rgb "#7a5ea8"
unset logscale y
set yrange [0:100]
set title name.": utilisation while work waits, %" noenhanced
plot folder."/".name.".csv" skip 1 using 18:xtic(1) notitle linecolor rgb "#4f8a5b"
set xtics norotate autofreq
set style data lines
set xlabel "second"
set title "busy slots, %" noenhanced
names = system("cut -d, -f1 ".folder."/".name.".csv | tail -n +2")
plot for [i=0:words(names)-1] folder."/".name."-timeline.csv" index i using 2:3 title word(names, i+1)
set yrange [0:*]
set title "requests that wait" noenhanced
plot for [i=0:words(names)-1] folder."/".name."-timeline.csv" index i using 2:4 title word(names, i+1)
unset multiplot
